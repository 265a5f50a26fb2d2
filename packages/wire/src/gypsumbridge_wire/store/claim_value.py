"""Claims as keys and values of the configuration store."""

import zlib

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import mutation

CLAIM_PREFIX = 'claims/'

_decoder = msgspec.json.Decoder(messages.Claim)


def encode_claim_key(idempotency_key: str) -> str:
    """Return the store's key, which begins with a bucket for listing."""
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
    """Return the reply; FrameError where a value is no claim."""
    items = tuple(
        _decode_item(item) for item in reply.items if item.value is not None
    )
    return messages.ClaimReply(
        reply.token, reply.status, reply.revision, items
    )


def _decode_item(item: messages.StoreItem) -> messages.ClaimItem:
    parts = item.key.removeprefix(CLAIM_PREFIX).split('/', 1)
    try:
        claim = _decoder.decode(item.value or '')
    except msgspec.MsgspecError as error:
        raise errors.FrameError(
            f'the value of {item.key} does not decode: {error}',
            'delete the key after its expiry, when nobody can use it',
        ) from error
    return messages.ClaimItem(parts[-1], claim, item.revision)
