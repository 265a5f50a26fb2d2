"""Claims as keys and values of the configuration store."""

import zlib

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import mutation
from gypsumbridge_wire import decode_errors
from gypsumbridge_wire import numbers

CLAIM_PREFIX = 'claims/'
_REMEDY = 'delete the key after its expiry, when it is no longer used'

_decoder = msgspec.json.Decoder(messages.Claim)


def encode_claim_key(idempotency_key: str) -> str:
    """Return the store's key, whose prefix is a bucket that can be listed."""
    bucket = zlib.crc32(idempotency_key.encode()) % mutation.BUCKETS
    return f'{CLAIM_PREFIX}{bucket}/{idempotency_key}'


def encode_claim_call(call: messages.ClaimCall) -> messages.StoreRequest:
    """Return the store request of a call about claims."""
    key = encode_claim_key(call.key)
    if call.operation == messages.StoreOperation.LIST:
        key = f'{CLAIM_PREFIX}{call.key}/'
    value = ''
    if call.claim is not None:
        value = msgspec.json.encode(call.claim).decode()
    return messages.StoreRequest(
        call.token,
        call.operation,
        key,
        value,
        expected_revision=call.expected_revision,
    )


def decode_claim_reply(reply: messages.StoreReply) -> messages.ClaimReply:
    """Return the reply; FrameError if a value is not a claim."""
    items = tuple(
        _decode_item(item) for item in reply.items if item.value is not None
    )
    return messages.ClaimReply(
        reply.token, reply.status, reply.revision, items
    )


def decode_claim_list(
    reply: messages.StoreReply,
) -> tuple[messages.ClaimReply, tuple[errors.FrameError, ...]]:
    """Return the claims in a list, and an error for each invalid value."""
    items = []
    rejected = []
    for item in reply.items:
        try:
            items.append(_decode_item(item))
        except errors.FrameError as error:
            rejected.append(error)
    claims = messages.ClaimReply(
        reply.token, reply.status, reply.revision, tuple(items)
    )
    return claims, tuple(rejected)


def _decode_item(item: messages.StoreItem) -> messages.ClaimItem:
    parts = item.key.removeprefix(CLAIM_PREFIX).split('/', 1)
    try:
        claim = _decoder.decode(item.value or '')
    except decode_errors.DECODE_ERRORS as error:
        raise errors.FrameError(
            f'the value of {item.key} does not decode: {error}', _REMEDY
        ) from error
    times = (claim.key_expires_at_ms, claim.send_before_ms)
    if not all(numbers.is_in_range(time_ms) for time_ms in times):
        raise errors.FrameError(
            f'the value of {item.key} has a time out of range', _REMEDY
        )
    return messages.ClaimItem(parts[-1], claim, item.revision)
