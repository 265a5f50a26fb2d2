"""Sends queued calls to endpoints."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.owner import command
from gypsumbridge_decisions.owner import dispatch_check
from gypsumbridge_decisions.owner import hedge_timer
from gypsumbridge_decisions.owner import pending_call
from gypsumbridge_decisions.owner import rank_choice
from gypsumbridge_decisions.owner import replica_choice
from gypsumbridge_decisions.owner import replica_set_state
from gypsumbridge_decisions.owner import replica_state
from gypsumbridge_decisions.owner import result
from gypsumbridge_decisions.owner import state as states

# Hedge delay while a replica set has no latency samples.
DEFAULT_HEDGE_MS = 100
MIN_HEDGE_MS = 2


def dispatch(
    state: states.OwnerState,
    set_state: replica_set_state.ReplicaSetState,
    now_ms: int,
) -> list[command.Command]:
    """Fill the free slots of a replica set from its queues."""
    commands = _dispatch_retries(state, set_state, now_ms)
    while True:
        queued = sum(queue.length for queue in set_state.queues.values())
        if not queued:
            return commands
        replica = replica_choice.choose_replica(set_state, (), queued, now_ms)
        if replica is None:
            return commands
        rank = rank_choice.choose_rank(state, set_state)
        if rank is None:
            return commands
        call = set_state.queue(rank).pop()
        if call is None:
            continue
        if call.deadline_at_ms <= now_ms:
            commands += result.refuse(
                state, call, messages.MissingReason.DEADLINE
            )
            continue
        set_state.admission(rank).record_dispatch()
        commands += start_request(state, set_state, call, replica, now_ms)
        if not call.is_mutation():
            commands += _arm_hedge(state, set_state, call, now_ms)
        _earn_budget(state, call)


def _dispatch_retries(
    state: states.OwnerState,
    set_state: replica_set_state.ReplicaSetState,
    now_ms: int,
) -> list[command.Command]:
    """Start the retries for which an untried replica has a free slot.

    Retries are kept apart from the queues, because a retry that waits for
    one replica must not block calls that any replica can run.
    """
    commands: list[command.Command] = []
    still_waiting = []
    for call in set_state.retries:
        if call.done:
            continue
        if call.deadline_at_ms <= now_ms:
            commands += result.refuse(
                state, call, messages.MissingReason.DEADLINE
            )
            continue
        replica = replica_choice.choose_replica(
            set_state, call.tried, 0, now_ms
        )
        if replica is None:
            still_waiting.append(call)
            continue
        commands += start_request(state, set_state, call, replica, now_ms)
    set_state.retries = still_waiting
    return commands


def start_request(
    state: states.OwnerState,
    set_state: replica_set_state.ReplicaSetState,
    call: pending_call.PendingCall,
    replica: replica_state.ReplicaState,
    now_ms: int,
) -> list[command.Command]:
    """Reserve a slot of a replica and send the call to it."""
    dispatch_check.check_dispatch(call, replica)
    call_id = state.next_call_id
    state.next_call_id += 1
    state.calls[call_id] = call
    call.running[call_id] = replica.endpoint.name
    call.tried.append(replica.endpoint.name)
    call.started_ms = now_ms
    replica.running[call_id] = now_ms
    used = set_state.running_by_rank.get(call.rank, 0)
    set_state.running_by_rank[call.rank] = used + 1
    endpoint = replica.endpoint
    request = messages.EndpointRequest(
        call_id=call_id,
        endpoint=endpoint.name,
        address=endpoint.address,
        port=endpoint.port,
        connections=endpoint.slots + 1,
        shard=call.key.shard,
        version=call.version,
        remaining_ms=call.deadline_at_ms - now_ms,
        body=call.body,
        idempotency_key=call.idempotency_key,
    )
    decision = messages.Decision(
        'send_to_endpoint',
        'first' if len(call.tried) == 1 else 'extra',
        {
            'query': call.key.request_id,
            'attempt': call.key.attempt,
            'shard': call.key.shard,
            'rank': call.rank,
            'endpoint': endpoint.name,
            'call': call_id,
            'waited_ms': now_ms - call.arrived_ms,
        },
    )
    return [request, decision]


def _arm_hedge(
    state: states.OwnerState,
    set_state: replica_set_state.ReplicaSetState,
    call: pending_call.PendingCall,
    now_ms: int,
) -> list[command.Command]:
    if len(set_state.replicas) < 2:
        return []
    delay_ms = _hedge_delay_ms(state, set_state, now_ms)
    if now_ms + delay_ms >= call.deadline_at_ms:
        return []
    call_id = next(iter(call.running))
    return [messages.Timer(delay_ms, hedge_timer.HedgeTimer(call_id))]


def _hedge_delay_ms(
    state: states.OwnerState,
    set_state: replica_set_state.ReplicaSetState,
    now_ms: int,
) -> int:
    """Return the declared latency percentile of the fastest replica.

    The percentile of a slow replica would delay the hedges that are meant
    to avoid it.
    """
    service = state.catalog.services.get(set_state.key[0])
    if service is None:
        return DEFAULT_HEDGE_MS
    percentiles_ms = []
    for replica in set_state.replicas.values():
        value = replica.latency.percentile_ms(service.hedge_percentile, now_ms)
        if value > 0:
            percentiles_ms.append(value)
    if not percentiles_ms:
        return DEFAULT_HEDGE_MS
    return max(int(min(percentiles_ms)), MIN_HEDGE_MS)


def _earn_budget(
    state: states.OwnerState, call: pending_call.PendingCall
) -> None:
    service = state.catalog.services.get(call.replica_set[0])
    if service is None:
        return
    state.budget(service.name).earn(service.extra_load_share)
