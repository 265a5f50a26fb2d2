"""Probes of holders, takeovers, and repeated writes of a holder's entry."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.quotas import ask as asks
from gypsumbridge_decisions.quotas import ask_holder
from gypsumbridge_decisions.quotas import command
from gypsumbridge_decisions.quotas import entitlement
from gypsumbridge_decisions.quotas import grant_reply
from gypsumbridge_decisions.quotas import grant_request
from gypsumbridge_decisions.quotas import granting
from gypsumbridge_decisions.quotas import holder_changes
from gypsumbridge_decisions.quotas import holder_record
from gypsumbridge_decisions.quotas import holder_written
from gypsumbridge_decisions.quotas import partition_state
from gypsumbridge_decisions.quotas import quota_timer
from gypsumbridge_decisions.quotas import state as states
from gypsumbridge_decisions.quotas import write_holder

PROBE_INTERVAL_MS = 1_000
# Shorter than the interval, so that probes of one holder do not pile up.
PROBE_TIMEOUT_MS = 500
# The first candidate takes over after this time, the second after twice it. A
# process that ends is restarted within two to four seconds.
SILENCE_MS = 5_000
# Without any entry, the first candidate waits until the other nodes of a new
# fleet have registered; else the first node to start would hold everything.
SETTLE_MS = 2_000
# A copy that was proven within this time lets a node take over. A node that
# has lost the store judges nobody, and an outage of it makes no holder lose
# its partition. In a fleet whose nodes watch the store, a proof becomes 6 s
# old while nothing changes: a watch of 3 s proves the copy at its start.
CONTACT_MS = 8_000


def check_partitions(
    state: states.QuotaState, now_ms: int
) -> list[command.Command]:
    """Probe holders, take over and write entries again where needed.

    A deployment without customers has no holders.
    """
    timer = messages.Timer(PROBE_INTERVAL_MS, quota_timer.QuotaTimer())
    commands: list[command.Command] = [timer]
    if not state.quotas:
        return commands
    for partition in state.partitions:
        commands += holder_changes.check_lapse(state, partition, now_ms)
        commands += write_again(state, partition, now_ms)
        commands += watch_holder(state, partition, now_ms)
    return commands


def write_again(
    state: states.QuotaState,
    partition: partition_state.PartitionState,
    now_ms: int,
) -> list[command.Command]:
    """Write the entry that a new era lacks, or that the wait is over."""
    holding = partition.holding
    record = holding.record
    ttl_ms = state.policy.holder_ttl_ms
    if record is None or partition.writing:
        return []
    if not entitlement.may_grant(holding, ttl_ms, now_ms):
        return []
    if holding.restoring:
        return write(state, partition, record, settled=False)
    if not entitlement.is_settled(record):
        return write(state, partition, record, settled=True)
    return []


def watch_holder(
    state: states.QuotaState,
    partition: partition_state.PartitionState,
    now_ms: int,
) -> list[command.Command]:
    """Probe the holder as one of its candidates, or take over from it."""
    own_id = state.policy.node_id
    candidates = state.candidates.get(partition.number, ())
    record = partition.holding.record
    ttl_ms = state.policy.holder_ttl_ms
    holds = partition.holding.restoring and entitlement.may_grant(
        partition.holding, ttl_ms, now_ms
    )
    if (
        record is None
        or record.node_id == own_id
        or own_id not in candidates
        or holds
    ):
        # Nothing is known of the holder until this node has probed it.
        partition.silent_since_ms = None
        return []
    proven_ms = state.proven_ms
    in_contact = proven_ms is not None and now_ms - proven_ms < CONTACT_MS
    if partition.silent_since_ms is None or not in_contact:
        partition.silent_since_ms = now_ms
    silent_ms = now_ms - partition.silent_since_ms
    rank = candidates.index(own_id)
    patience_ms = SILENCE_MS * (rank + 1)
    if rank == 0 and not partition.holder_id:
        patience_ms = SETTLE_MS
    if in_contact and silent_ms >= patience_ms:
        if not partition.holder_id or was_in_contact_since(
            state, partition.silent_since_ms
        ):
            return take_over(state, partition, record)
    return probe(state, partition, now_ms)


def was_in_contact_since(state: states.QuotaState, since_ms: int) -> bool:
    """Return whether the copy was proven current after a time.

    A node that lost the store and a holder at the same time is cut off
    itself.
    """
    return state.proven_ms is not None and state.proven_ms > since_ms


def probe(
    state: states.QuotaState,
    partition: partition_state.PartitionState,
    now_ms: int,
) -> list[command.Command]:
    """Ask the holder whether it answers."""
    peer = state.peer(partition.holder_id)
    if peer is None or peer.node_id == state.policy.node_id:
        return []
    ask = asks.Ask(partition.number, peer.node_id, '', 0, now_ms)
    request = grant_request.GrantRequest(partition.number, '', 0)
    return [
        ask_holder.AskHolder(
            state.add_ask(ask), peer, request, PROBE_TIMEOUT_MS
        )
    ]


def handle_probe_reply(
    state: states.QuotaState,
    ask: asks.Ask,
    reply: grant_reply.GrantReply,
    now_ms: int,
) -> list[command.Command]:
    """Record that a holder answers, and that it grants or will do so.

    A holder that has lost the store answers as well, but grants nothing.
    """
    partition = state.partitions[ask.partition]
    if partition.holder_id != ask.holder_id:
        return []
    if reply.refusal in ('', granting.WAITING):
        partition.silent_since_ms = now_ms
    return []


def take_over(
    state: states.QuotaState,
    partition: partition_state.PartitionState,
    record: holder_record.HolderRecord,
) -> list[command.Command]:
    """Write this node as the holder, unless the entry has changed."""
    if partition.writing:
        return []
    is_first = (
        state.policy.first_start
        and not record.revision
        and not partition.holder_id
        and not state.era_changed
    )
    if is_first:
        partition.holding = dataclasses.replace(
            partition.holding, first_write=True
        )
    reason = 'first_start' if is_first else 'holder_silent'
    if not partition.holder_id and not is_first:
        reason = 'entry_missing'
    return [
        *holder_changes.report(
            state, partition, 'partition_taken_over', reason
        ),
        *write(state, partition, record, settled=is_first),
    ]


def write(
    state: states.QuotaState,
    partition: partition_state.PartitionState,
    record: holder_record.HolderRecord,
    settled: bool,
) -> list[command.Command]:
    """Write this node's next claim, conditional on a record's revision."""
    partition.writing = True
    claim = entitlement.next_claim(record.claim, settled)
    return [
        write_holder.WriteHolder(
            holder_record.HolderRecord(
                partition.number,
                state.policy.node_id,
                claim,
                record.revision,
                record.era,
            )
        )
    ]


def handle_written(
    state: states.QuotaState,
    message: holder_written.HolderWritten,
) -> list[command.Command]:
    """Record the end of a write; the entry counts once the copy has it.

    The entry that caused a conflict may be that of an earlier write of this
    node whose answer was lost.
    """
    if not 0 <= message.partition < len(state.partitions):
        return []
    partition = state.partitions[message.partition]
    record = partition.holding.record
    seen = record is not None and record.revision >= message.revision
    # The copy will have the new entry, which ends the write.
    partition.writing = message.revision > 0 and not seen
    if not message.conflict:
        return []
    return holder_changes.report(
        state, partition, 'holder_conflict', 'entry_changed'
    )
