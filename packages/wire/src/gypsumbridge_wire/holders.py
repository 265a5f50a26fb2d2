"""Codec of the store's entries that name the holders of partitions."""

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import quotas
from gypsumbridge_wire import decode_errors
from gypsumbridge_wire import holder_value
from gypsumbridge_wire import relay

MAX_NODE_ID_BYTES = 128
_REMEDY = 'delete the key; a node writes it again'

_decoder = msgspec.json.Decoder(holder_value.HolderValue)


def encode_holder(record: quotas.HolderRecord) -> bytes:
    """Return the value of a partition's entry."""
    return msgspec.json.encode(
        holder_value.HolderValue(record.node_id, record.claim)
    )


def decode_holder(partition: int, value: bytes) -> quotas.HolderRecord:
    """Return the holder in an entry, without revision; raises FrameError."""
    try:
        found = _decoder.decode(value)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.FrameError(
            f'the holder of partition {partition} does not decode: {error}',
            _REMEDY,
        ) from error
    if not 0 < len(found.node_id.encode()) <= MAX_NODE_ID_BYTES:
        raise errors.FrameError(
            f'the holder of partition {partition} has no valid id', _REMEDY
        )
    if not 0 <= found.claim <= relay.MAX_COUNT:
        raise errors.FrameError(
            f'the holder of partition {partition} has claim {found.claim}',
            _REMEDY,
        )
    return quotas.HolderRecord(partition, found.node_id, found.claim, 0)
