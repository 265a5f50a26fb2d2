"""Decodes replies of the configuration store."""

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_wire import decode_errors
from gypsumbridge_wire import numbers
from gypsumbridge_wire.store import reply_body

_decoder = msgspec.json.Decoder(reply_body.ReplyBody)
_STATUSES = {
    200: messages.StoreStatus.OK,
    404: messages.StoreStatus.NOT_FOUND,
    410: messages.StoreStatus.COMPACTED,
    412: messages.StoreStatus.CONFLICT,
    413: messages.StoreStatus.REJECTED,
    429: messages.StoreStatus.UNAVAILABLE,
    503: messages.StoreStatus.UNAVAILABLE,
}


def decode_reply(
    token: str, http_status: int, body: bytes
) -> messages.StoreReply:
    """Return the reply; FrameError if it is not valid."""
    status = _STATUSES.get(http_status)
    if status is None:
        raise errors.FrameError(
            f'the store answered with HTTP status {http_status}',
            'check the address of the store',
        )
    if status == messages.StoreStatus.UNAVAILABLE:
        return messages.StoreReply(token, status)
    try:
        decoded = _decoder.decode(body)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.FrameError(
            f'the store sent a body that does not decode: {error}',
            'check the address of the store',
        ) from error
    revisions = [decoded.revision, *(i.revision for i in decoded.items)]
    if not all(numbers.is_in_range(revision) for revision in revisions):
        raise errors.FrameError(
            'the store sent a revision that is out of range',
            'check the address of the store',
        )
    return messages.StoreReply(token, status, decoded.revision, decoded.items)
