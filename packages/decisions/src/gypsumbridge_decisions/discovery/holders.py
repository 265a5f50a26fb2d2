"""Application of the entries that name the holders of partitions."""

import dataclasses

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import quotas
from gypsumbridge_decisions import relaying
from gypsumbridge_decisions.discovery import command
from gypsumbridge_decisions.discovery import skipping
from gypsumbridge_decisions.discovery import state as states

# Above any number of partitions that the settings allow.
MAX_DIGITS = 4


def apply_holder(
    state: states.DiscoveryState, record: relaying.StoreRecord
) -> tuple[bool, list[command.Command]]:
    """Record the holder of a partition; return whether it changed.

    An entry that cannot be decoded names nobody, but it exists, so its
    revision is kept for the write that replaces it.
    """
    partition = partition_of(state, record.key)
    if partition is None:
        return False, skipping.skip_record(record, 'names no partition')
    before = state.holders.get(partition)
    claim = 0 if before is None else before.claim
    commands: list[command.Command] = []
    if record.value is None:
        found = quotas.HolderRecord(partition, '', claim, 0, record.era)
    else:
        found = quotas.HolderRecord(
            partition, '', claim, record.revision, record.era
        )
        try:
            decoded = state.schema.decode_holder(partition, record.value)
        except errors.FrameError as error:
            commands += skipping.skip_record(record, str(error))
        else:
            found = dataclasses.replace(
                decoded, revision=record.revision, era=record.era
            )
    state.holders[partition] = found
    return found != before, commands


def partition_of(state: states.DiscoveryState, key: str) -> int | None:
    """Return the partition that an entry's key names, or None."""
    text = key.removeprefix(state.schema.holder_prefix)
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    # A second spelling of a number would be a second entry of its partition.
    return int(text) if str(int(text)) == text else None


def removed_holders(
    state: states.DiscoveryState, keys: set[str], revision: int
) -> tuple[relaying.StoreRecord, ...]:
    """Return deletions of the known entries that are not among `keys`."""
    prefix = state.schema.holder_prefix
    return tuple(
        relaying.StoreRecord(f'{prefix}{partition}', revision, None, state.era)
        for partition, found in state.holders.items()
        if found.revision and f'{prefix}{partition}' not in keys
    )


def publish_holders(state: states.DiscoveryState) -> quotas.HoldersChanged:
    """Return the last known entries of all partitions."""
    return quotas.HoldersChanged(tuple(state.holders.values()))
