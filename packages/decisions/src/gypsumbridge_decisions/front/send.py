"""Sends the pending shards of a query to their owners."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.front import command
from gypsumbridge_decisions.front import liveness_timer
from gypsumbridge_decisions.front import running_query
from gypsumbridge_decisions.front import sent_batch
from gypsumbridge_decisions.front import state as states


def send_pending(
    state: states.FrontState, running: running_query.RunningQuery, now_ms: int
) -> list[command.Command]:
    """Send every pending shard to its owner; a shard without one is missing.

    The shards of an unresponsive owner go to its standby at once, so that
    only queries sent before the owner became unresponsive wait for a hedge.
    """
    by_owner: dict[str, list[str]] = {}
    for shard in sorted(running.pending):
        replica_set = running.version.shards[shard]
        found = state.ownership.find(running.service, replica_set)
        if found.owner is None:
            running.pending.discard(shard)
            running.missing[shard] = messages.MissingReason.NO_OWNER
            continue
        target = found.owner
        if target in state.unresponsive and found.standby is not None:
            target = found.standby
        by_owner.setdefault(target, []).append(shard)
    commands: list[command.Command] = []
    for owner, shards in by_owner.items():
        commands += send_batch(state, running, owner, shards, False, now_ms)
    return commands


def send_batch(
    state: states.FrontState,
    running: running_query.RunningQuery,
    node_id: str,
    shards: list[str],
    hedged: bool,
    now_ms: int,
) -> list[command.Command]:
    """Send one batch and monitor the liveness of its owner."""
    attempt = running.next_attempt
    running.next_attempt += 1
    running.batches[attempt] = sent_batch.SentBatch(
        attempt, node_id, frozenset(shards), now_ms, hedged
    )
    if not hedged:
        service = running.service
        budget = state.hedge_budget(service.name)
        budget.earn(service.extra_load_share, len(shards))
    query = running.query
    batch = messages.ShardBatch(
        sender=state.node_id,
        query_id=query.query_id,
        attempt=attempt,
        service=query.service,
        version=running.version.name,
        rank=query.rank,
        caller=query.caller,
        remaining_ms=max(running.deadline_at_ms - now_ms, 0),
        admission_key=running.admission_key,
        configuration_revision=state.catalog.revision,
        body=query.body,
        calls=tuple(
            messages.ShardCall(shard, running.version.shards[shard])
            for shard in shards
        ),
        hedged=hedged,
    )
    decision = messages.Decision(
        'send_batch',
        'owner_silent' if hedged else 'owner',
        {
            'query': query.query_id,
            'attempt': attempt,
            'owner': node_id,
            'shards': len(shards),
            'snapshot': running.version.name,
        },
    )
    monitoring = _monitor(state, node_id, query.query_id, attempt, now_ms)
    return [messages.ToPeer(node_id, batch), *monitoring, decision]


def _monitor(
    state: states.FrontState,
    node_id: str,
    query_id: str,
    attempt: int,
    now_ms: int,
) -> list[command.Command]:
    """Monitor a batch; arm the owner's liveness timer if it is not armed."""
    monitored = state.monitored.get(node_id)
    if monitored is not None:
        monitored[(query_id, attempt)] = None
        return []
    state.monitored[node_id] = {(query_id, attempt): None}
    timer = liveness_timer.make_timer(
        node_id, now_ms, False, state.owner_timeout_ms(now_ms)
    )
    return [messages.Timer(timer.interval_ms, timer)]


def cancel_batches(
    state: states.FrontState, running: running_query.RunningQuery
) -> list[command.Command]:
    """Cancel every batch that has unreported shards."""
    commands: list[command.Command] = []
    for batch in running.batches.values():
        if not batch.unreported:
            continue
        cancel = messages.CancelBatch(
            state.node_id, running.query.query_id, batch.attempt
        )
        commands.append(messages.ToPeer(batch.node_id, cancel))
    return commands
