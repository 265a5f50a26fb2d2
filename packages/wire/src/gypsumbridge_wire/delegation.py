"""Codec of the requests that nodes delegate to coordinators.

A node sends DelegatedRequest as MessagePack in a POST request. The
coordinator confirms it with an interim response (102) as soon as it starts to
gather, and ends with DelegatedReply as MessagePack.
"""

import zlib

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import forwarding
from gypsumbridge_wire import decode_errors
from gypsumbridge_wire import delegated_reply
from gypsumbridge_wire import reply_body
from gypsumbridge_wire import status_line

PATH = '/v1/gathers'
_REMEDY = 'run nodes of the same release'

_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(forwarding.DelegatedRequest)
_reply_decoder = msgspec.msgpack.Decoder(reply_body.ReplyBody)
_response_decoder = msgspec.msgpack.Decoder(forwarding.CallerResponse | None)


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
    response = _encoder.encode(reply.response)
    return _encoder.encode(
        reply_body.ReplyBody(
            reply.delegation_id,
            zlib.crc32(response),
            reply.refusal,
            msgspec.Raw(response),
        )
    )


def decode_reply(body: bytes) -> delegated_reply.DelegatedReply:
    """Return the response in a body; FrameError if it does not decode."""
    try:
        found = _reply_decoder.decode(body)
        response = _response_decoder.decode(found.response)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.FrameError(
            f'a coordinator sent a response that does not decode: {error}',
            _REMEDY,
        ) from error
    if found.checksum and found.checksum != zlib.crc32(found.response):
        raise errors.FrameError(
            'a coordinator sent a response that broke off', _REMEDY
        )
    if (response is None) == (not found.refusal):
        raise errors.FrameError(
            'a coordinator sent neither a response nor a refusal', _REMEDY
        )
    if response is not None and not status_line.is_answer(response.status):
        raise errors.FrameError(
            'a coordinator sent a response with a status that is no answer',
            _REMEDY,
        )
    if response is not None and response.part_services:
        if len(response.part_services) != len(response.part_signatures):
            raise errors.FrameError(
                'a coordinator sent parts without a service', _REMEDY
            )
    return delegated_reply.DelegatedReply(
        found.refusal, response, found.delegation_id
    )
