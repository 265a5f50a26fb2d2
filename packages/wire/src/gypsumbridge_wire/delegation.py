"""Codec of the requests that nodes delegate to coordinators.

A node sends DelegatedRequest as MessagePack in a POST request. The
coordinator confirms it with an interim response (102) as soon as it starts to
gather, and ends with DelegatedReply as MessagePack.
"""

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import forwarding
from gypsumbridge_wire import decode_errors
from gypsumbridge_wire import delegated_reply

PATH = '/v1/gathers'
_REMEDY = 'run nodes of the same release'

_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(forwarding.DelegatedRequest)
_reply_decoder = msgspec.msgpack.Decoder(delegated_reply.DelegatedReply)


def encode_request(delegated: forwarding.DelegatedRequest) -> bytes:
    """Return the body of a request."""
    return _encoder.encode(delegated)


def decode_request(body: bytes) -> forwarding.DelegatedRequest:
    """Return the request in a body; FrameError if it does not decode."""
    try:
        return _request_decoder.decode(body)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.FrameError(
            f'a node delegated a request that does not decode: {error}',
            _REMEDY,
        ) from error


def encode_reply(reply: delegated_reply.DelegatedReply) -> bytes:
    """Return the body of a response."""
    return _encoder.encode(reply)


def decode_reply(body: bytes) -> delegated_reply.DelegatedReply:
    """Return the response in a body; FrameError if it does not decode."""
    try:
        reply = _reply_decoder.decode(body)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.FrameError(
            f'a coordinator sent a response that does not decode: {error}',
            _REMEDY,
        ) from error
    if (reply.response is None) == (not reply.refusal):
        raise errors.FrameError(
            'a coordinator sent neither a response nor a refusal', _REMEDY
        )
    response = reply.response
    if response is not None and response.part_services:
        if len(response.part_services) != len(response.part_signatures):
            raise errors.FrameError(
                'a coordinator sent parts without a service', _REMEDY
            )
    return reply
