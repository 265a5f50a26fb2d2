"""Changes of the holders, and proofs that this node's copy is current."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import copy_confirmed
from gypsumbridge_decisions.quotas import command
from gypsumbridge_decisions.quotas import entitlement
from gypsumbridge_decisions.quotas import holder_record
from gypsumbridge_decisions.quotas import holders_changed
from gypsumbridge_decisions.quotas import holding as holdings
from gypsumbridge_decisions.quotas import partition_state
from gypsumbridge_decisions.quotas import state as states


def change_holders(
    state: states.QuotaState,
    message: holders_changed.HoldersChanged,
    now_ms: int,
) -> list[command.Command]:
    """Apply the entries in this node's copy of the store.

    Entries of an older era are not in the newest copy. Missing entries wait
    for the next proof, as only that tells the era in which they are missing.
    """
    newest_era = max((r.era for r in message.records), default=state.era)
    commands = record_era(state, newest_era)
    records = {r.partition: r for r in message.records if r.era == state.era}
    state.listed = frozenset(records)
    for partition in state.partitions:
        record = records.get(partition.number)
        if record is not None:
            commands += apply_record(state, partition, record, now_ms)
    return commands


def confirm_copy(
    state: states.QuotaState,
    message: copy_confirmed.CopyConfirmed,
    now_ms: int,
) -> list[command.Command]:
    """Apply a proof that all entries of this node's copy are current.

    A proof that is older than a holder's term proves nothing, and a copy that
    was never proven may lack entries.
    """
    if message.era < state.era:
        return []
    commands = record_era(state, message.era)
    if now_ms - message.proven_ms >= state.policy.holder_ttl_ms:
        return commands
    proven_ms = min(message.proven_ms, now_ms)
    if state.proven_ms is not None:
        proven_ms = max(proven_ms, state.proven_ms)
    state.proven_ms = proven_ms
    for partition in state.partitions:
        if partition.number not in state.listed:
            missing = make_missing(state, partition)
            commands += apply_record(state, partition, missing, now_ms)
        confirmed = entitlement.confirm(
            partition.holding, state.policy.node_id, proven_ms, now_ms
        )
        commands += replace_holding(state, partition, confirmed, now_ms)
    return commands


def record_era(state: states.QuotaState, era: int) -> list[command.Command]:
    """Record a new era, whose entries this node has not seen yet."""
    if era <= state.era:
        return []
    fields: dict[str, str | int | float] = {
        'before': state.era,
        'era': era,
    }
    state.era = era
    state.listed = frozenset()
    state.proven_ms = None
    if all(p.holding.record is None for p in state.partitions):
        return []
    state.era_changed = True
    return [
        messages.Decision('quota_era_changed', 'store_restored', fields),
        messages.Count('quotas.era_changed'),
    ]


def make_missing(
    state: states.QuotaState, partition: partition_state.PartitionState
) -> holder_record.HolderRecord:
    """Return the record of a partition without an entry in the copy."""
    known = partition.holding.record
    claim = 0 if known is None else known.claim
    return holder_record.HolderRecord(
        partition.number, '', claim, 0, state.era
    )


def apply_record(
    state: states.QuotaState,
    partition: partition_state.PartitionState,
    record: holder_record.HolderRecord,
    now_ms: int,
) -> list[command.Command]:
    """Apply the entry of one partition."""
    seen = entitlement.see_record(
        partition.holding,
        record,
        state.policy.node_id,
        state.policy.holder_ttl_ms,
        now_ms,
    )
    if seen.record != partition.holding.record:
        partition.writing = False
    if record.node_id and record.node_id != partition.holder_id:
        partition.holder_id = record.node_id
        partition.silent_since_ms = now_ms
        state.back_off.reset(partition.number)
        for demand in state.demands.values():
            demand.empty_until_ms.pop(partition.number, None)
            demand.unknown_until_ms.pop(partition.number, None)
    return replace_holding(state, partition, seen, now_ms)


def replace_holding(
    state: states.QuotaState,
    partition: partition_state.PartitionState,
    after: holdings.Holding,
    now_ms: int,
) -> list[command.Command]:
    """Store a partition's new state, and report what it means."""
    before = partition.holding
    partition.holding = after
    if after.begin_ms != before.begin_ms:
        partition.buckets.clear()
        partition.lapsed = False
    began = after.begin_ms is not None and after.begin_ms != before.begin_ms
    if began:
        state.back_off.reset(partition.number)
        reason = 'first_start' if after.full else 'entry_confirmed'
        if before.wait_until_ms is not None:
            reason = 'waited'
        return report(state, partition, 'partition_held', reason)
    if before.begin_ms is not None and after.begin_ms is None:
        holder_id = '' if after.record is None else after.record.node_id
        reason = 'other_holder' if holder_id else 'entry_missing'
        if holder_id == state.policy.node_id:
            reason = 'proof_expired'
        return report(state, partition, 'partition_lost', reason)
    return []


def check_lapse(
    state: states.QuotaState,
    partition: partition_state.PartitionState,
    now_ms: int,
) -> list[command.Command]:
    """Report that a holder's proof has become too old, or recent again."""
    holding = partition.holding
    if holding.begin_ms is None:
        return []
    ttl_ms = state.policy.holder_ttl_ms
    lapsed = not entitlement.may_grant(holding, ttl_ms, now_ms)
    if lapsed == partition.lapsed:
        return []
    partition.lapsed = lapsed
    if lapsed:
        return report(state, partition, 'partition_lost', 'proof_expired')
    return report(state, partition, 'partition_held', 'proof_renewed')


def report(
    state: states.QuotaState,
    partition: partition_state.PartitionState,
    name: str,
    reason: str,
) -> list[command.Command]:
    """Return the log line and the counter of a change at one partition."""
    record = partition.holding.record
    fields: dict[str, str | int | float] = {
        'partition': partition.number,
        'holder': partition.holder_id,
        'claim': 0 if record is None else record.claim,
        'revision': 0 if record is None else record.revision,
        'era': state.era,
    }
    return [
        messages.Decision(name, reason, fields),
        messages.Count(f'quotas.{name}'),
    ]
