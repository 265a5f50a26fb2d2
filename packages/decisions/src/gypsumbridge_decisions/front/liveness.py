"""Checks the liveness of owners; hedges batches of unresponsive ones."""

from collections.abc import Iterable

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.front import command
from gypsumbridge_decisions.front import liveness_timer
from gypsumbridge_decisions.front import running_query
from gypsumbridge_decisions.front import send
from gypsumbridge_decisions.front import sent_batch
from gypsumbridge_decisions.front import state as states


def check_liveness(
    state: states.FrontState, timer: liveness_timer.LivenessTimer, now_ms: int
) -> list[command.Command]:
    """Send a liveness check to an owner; without a reply, hedge its batches.

    There is one timer per owner instead of one per batch. An overloaded
    owner has thousands of waiting batches, and a check for each of them
    would add to its load.
    """
    node_id = timer.node_id
    # An owner on this node, or a fast one, replies in the same millisecond.
    if state.last_contact_ms.get(node_id, -1) >= timer.since_ms:
        if not _prune(state, node_id):
            return []
        return [_arm(state, node_id, False, now_ms)]
    open_batches = _prune(state, node_id)
    if _is_late(timer, now_ms):
        return [_arm(state, node_id, timer.check_sent, now_ms)]
    if not open_batches and node_id not in state.unresponsive:
        return []
    state.check_latency.record_sent(node_id, now_ms)
    check_commands: list[command.Command] = [
        messages.ToPeer(node_id, messages.OwnerCheck(state.node_id)),
        _arm(state, node_id, True, now_ms),
    ]
    if not timer.check_sent:
        return check_commands
    state.unresponsive.add(node_id)
    commands: list[command.Command] = []
    # Each batch is resent once; otherwise a standby that refuses it would get
    # it again in every interval. Batches that exceed the budget are deferred
    # to the next interval.
    deferred: dict[tuple[str, int], None] = {}
    for query_id, attempt in open_batches:
        running = state.running.get(query_id)
        if running is None:
            continue
        batch = running.batches.get(attempt)
        if batch is None or not batch.unreported:
            continue
        shards = sorted(batch.unreported)
        budget = state.hedge_budget(running.service.name)
        if not budget.spend(len(shards)):
            deferred[(query_id, attempt)] = None
            commands.append(messages.Count('front.hedges.no_budget'))
            continue
        commands += resend(state, running, batch, shards, now_ms)
    state.monitored[node_id] = deferred
    return commands + check_commands


def receive_alive(
    state: states.FrontState, alive: messages.OwnerAlive, now_ms: int
) -> list[command.Command]:
    """Record an owner's reply to a liveness check and its latency."""
    state.last_contact_ms[alive.sender] = now_ms
    state.unresponsive.discard(alive.sender)
    state.check_latency.record_reply(alive.sender, now_ms)
    return []


def _is_late(timer: liveness_timer.LivenessTimer, now_ms: int) -> bool:
    """Return whether the timer fired late because this process was paused.

    After a pause, timers run before the sockets are read, so messages from
    the owner may still be unread.
    """
    lateness_ms = now_ms - timer.since_ms - timer.interval_ms
    return lateness_ms > max(timer.interval_ms // 2, 1)


def _arm(
    state: states.FrontState, node_id: str, check_sent: bool, now_ms: int
) -> messages.Timer:
    timer = liveness_timer.make_timer(
        node_id, now_ms, check_sent, state.owner_timeout_ms(now_ms)
    )
    return messages.Timer(timer.interval_ms, timer)


def _prune(state: states.FrontState, node_id: str) -> list[tuple[str, int]]:
    """Remove an owner's oldest completed batches; return the others.

    A responsive owner without open batches is no longer monitored.
    """
    monitored = state.monitored.get(node_id)
    if monitored is None:
        return []
    while monitored:
        query_id, attempt = next(iter(monitored))
        running = state.running.get(query_id)
        batch = running.batches.get(attempt) if running else None
        if batch is not None and batch.unreported:
            break
        del monitored[(query_id, attempt)]
    if not monitored and node_id not in state.unresponsive:
        del state.monitored[node_id]
    return list(monitored)


def resend(
    state: states.FrontState,
    running: running_query.RunningQuery,
    batch: sent_batch.SentBatch,
    shards: Iterable[str],
    now_ms: int,
) -> list[command.Command]:
    """Send the pending shards of a batch to another owner as well."""
    by_node: dict[str, list[str]] = {}
    for shard in shards:
        if shard not in running.pending:
            continue
        node_id = _other_owner(state, running, shard, batch.node_id)
        if node_id is None or _is_sent_to(running, shard, node_id):
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
    previous: str,
) -> str | None:
    """Return the owner by the current membership, unless it is `previous`.

    In that case return the standby.
    """
    replica_set = running.version.shards[shard]
    found = state.ownership.find(running.service, replica_set)
    if found.owner != previous:
        return found.owner
    return found.standby


def _is_sent_to(
    running: running_query.RunningQuery, shard: str, node_id: str
) -> bool:
    for batch in running.batches.values():
        if batch.node_id == node_id and shard in batch.unreported:
            return True
    return False
