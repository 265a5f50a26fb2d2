"""The steps of a process's right to grant tokens of one partition.

At any time at most one process is entitled for a partition. A node that takes
over writes an odd claim and waits until the proofs of all earlier holders
have expired. Once it has begun, it writes the next claim, an even one. A
process that starts and finds an even claim for its node knows that nobody else
is entitled; with an odd claim it waits, as the process before it did.

`make check-model` explores these functions.
"""

import dataclasses

from gypsumbridge_decisions.quotas import holder_record
from gypsumbridge_decisions.quotas import holding as holdings

# Covers what passes between the store's receipt of a write and its answer,
# and clocks that drift apart during a holder's term.
WAIT_MARGIN_MS = 1_000


def is_settled(record: holder_record.HolderRecord) -> bool:
    """Return whether the holder has begun, so that all earlier ones ended."""
    return record.claim % 2 == 0


def next_claim(claim: int, settled: bool) -> int:
    """Return the next higher claim that is settled or not."""
    return claim + 1 if (claim % 2 == 0) != settled else claim + 2


def may_grant(holding: holdings.Holding, ttl_ms: int, now_ms: int) -> bool:
    """Return whether this process is entitled to grant now."""
    if holding.begin_ms is None or holding.proven_ms is None:
        return False
    return now_ms < holding.proven_ms + ttl_ms


def see_record(
    holding: holdings.Holding,
    record: holder_record.HolderRecord,
    own_id: str,
    ttl_ms: int,
    now_ms: int,
) -> holdings.Holding:
    """Apply the entry in the node's copy of the store."""
    known = holding.record
    if known is None:
        return name_holder(holding, record, own_id, ttl_ms, now_ms)
    if record == known or record.era < known.era:
        return holding
    if record.era > known.era:
        return change_era(holding, record, own_id, ttl_ms, now_ms)
    if record.node_id and record.revision < known.revision:
        return holding
    if record.node_id != own_id:
        return holdings.Holding(record)
    if holding.restoring and may_grant(holding, ttl_ms, now_ms):
        return dataclasses.replace(holding, record=record, restoring=False)
    if known.node_id == own_id and is_settled(record):
        # Written by this process, or by the one before it.
        return dataclasses.replace(holding, record=record, wait_until_ms=None)
    return name_holder(holding, record, own_id, ttl_ms, now_ms)


def name_holder(
    holding: holdings.Holding,
    record: holder_record.HolderRecord,
    own_id: str,
    ttl_ms: int,
    now_ms: int,
) -> holdings.Holding:
    """Return the state for an entry that this process had not known."""
    if record.node_id != own_id:
        return holdings.Holding(record)
    started = holding.record is None
    first = holding.first_write and is_settled(record)
    if is_settled(record) and (started or first):
        return holdings.Holding(record, full=first)
    return holdings.Holding(
        record, wait_until_ms=now_ms + ttl_ms + WAIT_MARGIN_MS
    )


def change_era(
    holding: holdings.Holding,
    record: holder_record.HolderRecord,
    own_id: str,
    ttl_ms: int,
    now_ms: int,
) -> holdings.Holding:
    """Apply the entry in the first copy of a new era.

    The store may have lost what was written in the old one. Only a process
    that is entitled up to now goes on.
    """
    if may_grant(holding, ttl_ms, now_ms):
        return dataclasses.replace(
            holding,
            record=record,
            restoring=record.node_id != own_id,
        )
    if record.node_id != own_id:
        return holdings.Holding(record)
    return holdings.Holding(
        record, wait_until_ms=now_ms + ttl_ms + WAIT_MARGIN_MS
    )


def confirm(
    holding: holdings.Holding, own_id: str, proven_ms: int, now_ms: int
) -> holdings.Holding:
    """Apply a proof that the copy was current, and begin after the wait.

    `proven_ms` is not later than `now_ms`.

    A proof after the wait is from a store that still has the entry. An
    earlier one may be older than a restore that this node has not seen and
    that lets the former holder go on.
    """
    record = holding.record
    if record is None or record.node_id != own_id:
        return holding
    if holding.proven_ms is not None:
        proven_ms = max(proven_ms, holding.proven_ms)
    wait_until_ms = holding.wait_until_ms
    if wait_until_ms is not None and proven_ms < wait_until_ms:
        return dataclasses.replace(holding, proven_ms=proven_ms)
    begin_ms = holding.begin_ms
    return dataclasses.replace(
        holding,
        proven_ms=proven_ms,
        wait_until_ms=None,
        begin_ms=now_ms if begin_ms is None else begin_ms,
    )
