"""Codec of the requests with which nodes ask a holder for tokens.

A node sends GrantRequest as MessagePack in a POST request, and the holder
answers with GrantReply as MessagePack. Both are under 300 bytes.
"""

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import quotas
from gypsumbridge_wire import decode_errors

PATH = '/v1/grants'
MAX_PARTITIONS = 1_000
# The longest name of a customer; a request with it has under 300 bytes.
MAX_CUSTOMER_BYTES = 256
MAX_TOKENS = 1_000_000
# Limits the tokens that are used in a window after they were granted in an
# earlier one, so a longer lifetime cannot be accepted.
MAX_LIFETIME_MS = 2_000
# The wait for a token of a quota with a very low rate; the caller waits for
# less in any case.
MAX_RETRY_AFTER_MS = 86_400_000
MAX_REFUSAL_BYTES = 100
_REMEDY = 'run nodes of the same release'

_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(quotas.GrantRequest)
_reply_decoder = msgspec.msgpack.Decoder(quotas.GrantReply)


def encode_request(request: quotas.GrantRequest) -> bytes:
    """Return the body of a request; FrameError if it is out of range."""
    _check_request(request)
    return _encoder.encode(request)


def decode_request(body: bytes) -> quotas.GrantRequest:
    """Return the request in a body; FrameError if it does not decode."""
    try:
        request = _request_decoder.decode(body)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.FrameError(
            f'a node sent a grant request that does not decode: {error}',
            _REMEDY,
        ) from error
    _check_request(request)
    return request


def encode_reply(reply: quotas.GrantReply) -> bytes:
    """Return the body of a response; FrameError if it is out of range."""
    _check_reply(reply)
    return _encoder.encode(reply)


def decode_reply(body: bytes) -> quotas.GrantReply:
    """Return the reply in a body; FrameError if it does not decode."""
    try:
        reply = _reply_decoder.decode(body)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.FrameError(
            f'a holder sent a grant that does not decode: {error}', _REMEDY
        ) from error
    _check_reply(reply)
    return reply


def _check_request(request: quotas.GrantRequest) -> None:
    _check_number('partition', request.partition, MAX_PARTITIONS - 1)
    _check_number('tokens', request.tokens, MAX_TOKENS)
    _check_text('customer', request.customer, MAX_CUSTOMER_BYTES)
    if request.tokens and not request.customer:
        raise errors.FrameError('a grant request names no customer', _REMEDY)


def _check_reply(reply: quotas.GrantReply) -> None:
    _check_number('tokens', reply.tokens, MAX_TOKENS)
    _check_number('lifetime_ms', reply.lifetime_ms, MAX_LIFETIME_MS)
    _check_number('retry_after_ms', reply.retry_after_ms, MAX_RETRY_AFTER_MS)
    _check_text('refusal', reply.refusal, MAX_REFUSAL_BYTES)
    if reply.tokens and reply.refusal:
        raise errors.FrameError(
            'a grant has both tokens and a refusal', _REMEDY
        )


def _check_number(field: str, value: int, highest: int) -> None:
    if not 0 <= value <= highest:
        raise errors.FrameError(
            f'{field} of a grant is {value}, not within 0 to {highest}',
            _REMEDY,
        )


def _check_text(field: str, value: str, max_bytes: int) -> None:
    # Lone surrogates, which no valid frame contains, are not printable.
    length = len(value.encode('utf-8', 'surrogatepass'))
    if length > max_bytes or not value.isprintable():
        raise errors.FrameError(
            f'{field} of a grant has {length} bytes or is not printable;'
            f' at most {max_bytes} are allowed',
            'use a shorter, printable name in the configuration',
        )
