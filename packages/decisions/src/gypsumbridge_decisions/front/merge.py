"""Merges parts into a running query."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.front import command
from gypsumbridge_decisions.front import finishing
from gypsumbridge_decisions.front import liveness
from gypsumbridge_decisions.front import running_query
from gypsumbridge_decisions.front import send
from gypsumbridge_decisions.front import state as states

# With less time left, a restart on a newer version would occupy slots for an
# answer that arrives after the deadline.
MIN_RESTART_MS = 10

_VERSION_REASONS = frozenset(
    {
        messages.MissingReason.VERSION_GONE,
        messages.MissingReason.VERSION_MISMATCH,
    }
)

_REROUTE_REASONS = frozenset(
    {
        messages.MissingReason.NODE_DRAINING,
        messages.MissingReason.NODE_SUSPECT,
        messages.MissingReason.CONFIGURATION_STALE,
    }
)


def receive_parts(
    state: states.FrontState, batch: messages.PartBatch, now_ms: int
) -> list[command.Command]:
    """Merge the parts of a batch; count and drop late and duplicate ones."""
    state.last_contact_ms[batch.sender] = now_ms
    state.unresponsive.discard(batch.sender)
    declared = state.catalog.replica_sets
    levels = [
        level
        for level in batch.levels
        if (level.service, level.replica_set) in declared
    ]
    state.levels.update(levels, now_ms)
    running = state.running.get(batch.query_id)
    if running is None:
        return _count_late(batch)
    sent = running.batches.get(batch.attempt)
    if sent is None or sent.node_id != batch.sender:
        return _count_late(batch)
    commands: list[command.Command] = []
    for part in batch.parts:
        sent = running.batches[batch.attempt]
        if part.shard not in sent.unreported:
            commands.append(messages.Count('front.parts.duplicate'))
            continue
        running.batches[batch.attempt] = dataclasses.replace(
            sent, unreported=sent.unreported - {part.shard}
        )
        running.attempts += part.attempts
        if part.reason in _REROUTE_REASONS and part.shard in running.pending:
            rerouted = liveness.resend(
                state, running, sent, [part.shard], now_ms
            )
            commands += rerouted
        _merge_part(running, part)
    if _should_restart(state, running, now_ms):
        return commands + _restart(state, running, now_ms)
    return commands + finishing.finish_if_done(state, running, now_ms)


def _count_late(batch: messages.PartBatch) -> list[command.Command]:
    if not batch.parts:
        return []
    return [messages.Count('front.parts.late', len(batch.parts))]


def _merge_part(
    running: running_query.RunningQuery, part: messages.Part
) -> None:
    if part.shard not in running.pending:
        return
    reason = part.reason
    if part.outcome == messages.PartOutcome.COVERED:
        if part.version == running.version.name:
            running.pending.discard(part.shard)
            running.covered[part.shard] = part
            return
        reason = messages.MissingReason.VERSION_MISMATCH
    if _has_other_attempt(running, part.shard):
        return
    running.pending.discard(part.shard)
    running.missing[part.shard] = reason


def _has_other_attempt(
    running: running_query.RunningQuery, shard: str
) -> bool:
    """Return whether another owner may still report the shard."""
    return any(shard in b.unreported for b in running.batches.values())


def _should_restart(
    state: states.FrontState, running: running_query.RunningQuery, now_ms: int
) -> bool:
    if running.restarted:
        return False
    if running.deadline_at_ms - now_ms < MIN_RESTART_MS:
        return False
    if not _VERSION_REASONS.intersection(running.missing.values()):
        return False
    service = state.catalog.services.get(running.service.name)
    if service is None:
        return False
    return service.current_version != running.version.name


def _restart(
    state: states.FrontState, running: running_query.RunningQuery, now_ms: int
) -> list[command.Command]:
    """Restart the whole query on the current version."""
    commands = send.cancel_batches(state, running)
    service = state.catalog.services[running.service.name]
    version = service.version(service.current_version)
    if version is None:
        return commands + finishing.finish_if_done(state, running, now_ms)
    commands.append(
        messages.Decision(
            'restart_query',
            'version_gone',
            {
                'query': running.query.query_id,
                'snapshot': running.version.name,
                'new_snapshot': version.name,
            },
        )
    )
    running.restarted = True
    running.service = service
    running.version = version
    running.pending = set(version.shards)
    running.covered = {}
    running.missing = {}
    running.batches = {}
    commands.append(messages.Count('front.restarts'))
    commands += send.send_pending(state, running, now_ms)
    return commands + finishing.finish_if_done(state, running, now_ms)
