"""Admits or refuses the calls and mutations that reach an owner."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_decisions.owner import call_key
from gypsumbridge_decisions.owner import catalog_update
from gypsumbridge_decisions.owner import command
from gypsumbridge_decisions.owner import dispatching
from gypsumbridge_decisions.owner import pending_call
from gypsumbridge_decisions.owner import predict
from gypsumbridge_decisions.owner import replica_set_state
from gypsumbridge_decisions.owner import result
from gypsumbridge_decisions.owner import state as states

# A mutation message that arrives twice is recognised as a duplicate for this
# long. The connection from the claimant would have to delay the second copy
# for longer before the mutation could run twice.
MUTATION_DEDUP_WINDOW_MS = 600_000
# 83 mutations a second over the window take about 10 MB. The store sustains
# a lower rate.
MAX_DEDUP_MUTATIONS = 50_000


def accept_batch(
    state: states.OwnerState, batch: messages.ShardBatch, now_ms: int
) -> list[command.Command]:
    """Queue each call of a batch, or refuse it as not run."""
    commands: list[command.Command] = []
    registered: dict[str, pending_call.PendingCall] = {}
    batch_key = (batch.sender, batch.query_id, batch.attempt)
    if batch_key in state.batches:
        return [messages.Count('owner.batches.duplicate')]
    # All calls are registered before any is refused. A refusal that emptied
    # the batch would delete it, and the remaining calls could not be
    # cancelled or counted as in flight.
    for shard_call in batch.calls:
        call = _make_call(batch, shard_call, now_ms)
        registered[shard_call.shard] = call
    if registered:
        state.batches[batch_key] = registered
    changed_sets: dict[tuple[str, str], replica_set_state.ReplicaSetState] = {}
    for call in list(registered.values()):
        key = call.replica_set
        set_state = catalog_update.find_set(state, key)
        reason = refusal_reason(
            state, set_state, call, batch.admission_key, now_ms
        )
        if reason:
            commands += result.refuse(state, call, reason)
            continue
        set_state.queue(batch.rank).push(call)
        changed_sets[key] = set_state
    for set_state in changed_sets.values():
        commands += dispatching.dispatch(state, set_state, now_ms)
    return commands


def accept_mutation(
    state: states.OwnerState, mutation: messages.MutationCall, now_ms: int
) -> list[command.Command]:
    """Queue a claimed mutation, or refuse it as not run."""
    batch_key = (mutation.sender, mutation.mutation_id, 0)
    skip_reason = _record_mutation(state, mutation, now_ms)
    if skip_reason:
        return [messages.Count(f'owner.mutations.{skip_reason}')]
    key = (mutation.service, mutation.replica_set)
    set_state = catalog_update.find_set(state, key)
    call = pending_call.PendingCall(
        key=call_key.CallKey(
            mutation.sender, mutation.mutation_id, 0, mutation.shard
        ),
        replica_set=key,
        version=mutation.version,
        rank=mutation.rank,
        caller=mutation.caller,
        body=mutation.body,
        idempotency_key=mutation.idempotency_key,
        arrived_ms=now_ms,
        deadline_at_ms=now_ms + mutation.remaining_ms,
    )
    state.batches[batch_key] = {mutation.shard: call}
    # Admission key 0 exempts a mutation from load shedding. It has already
    # been claimed in the store, which costs more than the slot it needs.
    reason = refusal_reason(state, set_state, call, 0.0, now_ms)
    if reason:
        return result.refuse(state, call, reason)
    set_state.queue(mutation.rank).push(call)
    return dispatching.dispatch(state, set_state, now_ms)


def _record_mutation(
    state: states.OwnerState, mutation: messages.MutationCall, now_ms: int
) -> str:
    """Record a mutation; return why it must not run, or ''.

    A mutation that must not run gets no result. A result of not_run would
    let the claimant release the claim while the first message runs. A
    mutation without an idempotency key is not accepted because it would be
    hedged like a search.
    """
    if not mutation.idempotency_key:
        return 'without_key'
    arrivals_ms = state.mutations
    while arrivals_ms:
        oldest = next(iter(arrivals_ms))
        if now_ms - arrivals_ms[oldest] < MUTATION_DEDUP_WINDOW_MS:
            break
        del arrivals_ms[oldest]
    key = (mutation.sender, mutation.mutation_id)
    if key in arrivals_ms:
        return 'duplicate'
    if len(arrivals_ms) >= MAX_DEDUP_MUTATIONS:
        return 'memory_full'
    arrivals_ms[key] = now_ms
    return ''


def refusal_reason(
    state: states.OwnerState,
    set_state: replica_set_state.ReplicaSetState,
    call: pending_call.PendingCall,
    admission_key: float,
    now_ms: int,
) -> messages.MissingReason:
    """Return why a call must not be queued, or NONE."""
    refusal = state.serving.refusal_at(now_ms)
    if refusal:
        return refusal
    rank = state.catalog.ranks.get(call.rank)
    if rank is None:
        return messages.MissingReason.CONFIGURATION_STALE
    if not set_state.slots():
        return messages.MissingReason.NO_ENDPOINT
    admission = set_state.admission(call.rank)
    queue = set_state.queue(call.rank)
    wait_ms = predict.wait_ms(state, set_state, rank, now_ms)
    admission.adjust(queue.length, wait_ms, wait_target_ms(rank), now_ms)
    if not admission.admit(admission_key):
        return messages.MissingReason.OVERLOAD
    limit = state.catalog.limits.get((call.replica_set[0], call.rank))
    if limit is not None and queue.length >= limit.max_queued:
        return messages.MissingReason.OVERLOAD
    service_ms = predict.service_ms(set_state, now_ms)
    if wait_ms + service_ms > call.deadline_at_ms - now_ms:
        return messages.MissingReason.OVERLOAD
    return messages.MissingReason.NONE


def wait_target_ms(rank: resources.Rank) -> float:
    """Return the queueing delay above which a rank's level falls.

    This is half of the rank's latency target. The other half is left for
    running the call and returning the result.
    """
    return rank.target_ms / 2


def _make_call(
    batch: messages.ShardBatch, shard_call: messages.ShardCall, now_ms: int
) -> pending_call.PendingCall:
    return pending_call.PendingCall(
        key=call_key.CallKey(
            batch.sender, batch.query_id, batch.attempt, shard_call.shard
        ),
        replica_set=(batch.service, shard_call.replica_set),
        version=batch.version,
        rank=batch.rank,
        caller=batch.caller,
        body=batch.body,
        idempotency_key='',
        arrived_ms=now_ms,
        deadline_at_ms=now_ms + batch.remaining_ms,
    )
