"""Hedges batches of an owner that shows no sign of life."""

from collections.abc import Iterable

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.front import command
from gypsumbridge_decisions.front import running_query
from gypsumbridge_decisions.front import send
from gypsumbridge_decisions.front import sent_batch
from gypsumbridge_decisions.front import silence_timer
from gypsumbridge_decisions.front import state as states


def check_silence(
    state: states.FrontState, timer: silence_timer.SilenceTimer, now_ms: int
) -> list[command.Command]:
    """Ask a silent owner for a sign of life, then hedge to standbys."""
    running = state.running.get(timer.query_id)
    if running is None:
        return []
    batch = running.batches.get(timer.attempt)
    if batch is None or not batch.unreported:
        return []
    since_ms = timer.checked_ms
    if since_ms is None:
        since_ms = batch.sent_ms
    heard_ms = state.last_heard_ms.get(batch.node_id, -1)
    if heard_ms > since_ms or timer.checked_ms is None:
        return _ask(state, timer, batch, now_ms)
    shards = sorted(batch.unreported)
    return resend(state, running, batch, shards, now_ms)


def _ask(
    state: states.FrontState,
    timer: silence_timer.SilenceTimer,
    batch: sent_batch.SentBatch,
    now_ms: int,
) -> list[command.Command]:
    check = messages.OwnerCheck(state.node_id, timer.query_id, timer.attempt)
    again = silence_timer.SilenceTimer(timer.query_id, timer.attempt, now_ms)
    return [
        messages.ToPeer(batch.node_id, check),
        messages.Timer(max(state.owner_silence_ms // 2, 1), again),
    ]


def resend(
    state: states.FrontState,
    running: running_query.RunningQuery,
    batch: sent_batch.SentBatch,
    shards: Iterable[str],
    now_ms: int,
) -> list[command.Command]:
    """Send open shards of a batch to another owner as well."""
    by_node: dict[str, list[str]] = {}
    for shard in shards:
        if shard not in running.pending:
            continue
        node_id = _other_owner(state, running, shard, batch.node_id)
        if node_id is None or _asked(running, shard, node_id):
            continue
        by_node.setdefault(node_id, []).append(shard)
    commands: list[command.Command] = []
    for node_id, chosen in by_node.items():
        commands += send.send_batch(
            state, running, node_id, chosen, True, now_ms
        )
        commands.append(messages.Count('front.hedged.owner', len(chosen)))
    return commands


def _other_owner(
    state: states.FrontState,
    running: running_query.RunningQuery,
    shard: str,
    silent: str,
) -> str | None:
    """Return the owner by the present membership, or else the standby."""
    replica_set = running.version.shards[shard]
    found = state.ownership.find(running.service, replica_set)
    if found.owner != silent:
        return found.owner
    return found.standby


def _asked(
    running: running_query.RunningQuery, shard: str, node_id: str
) -> bool:
    for batch in running.batches.values():
        if batch.node_id == node_id and shard in batch.unreported:
            return True
    return False
