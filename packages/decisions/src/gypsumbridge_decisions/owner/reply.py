"""Handles the end of a request to an endpoint."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.owner import command
from gypsumbridge_decisions.owner import dispatching
from gypsumbridge_decisions.owner import health
from gypsumbridge_decisions.owner import leaving_notices
from gypsumbridge_decisions.owner import pending_call
from gypsumbridge_decisions.owner import replica_choice
from gypsumbridge_decisions.owner import replica_set_state
from gypsumbridge_decisions.owner import result
from gypsumbridge_decisions.owner import state as states

_REASONS = {
    messages.EndpointStatus.SHED: messages.MissingReason.ENDPOINT_SHED,
    messages.EndpointStatus.DRAINING: messages.MissingReason.ENDPOINT_SHED,
    messages.EndpointStatus.VERSION_GONE: messages.MissingReason.VERSION_GONE,
}
_FREE_RETRY_STATUSES = frozenset(
    {
        messages.EndpointStatus.DRAINING,
        messages.EndpointStatus.UNREACHABLE,
    }
)
_FAILURE_STATUSES = frozenset(
    {
        messages.EndpointStatus.UNREACHABLE,
        messages.EndpointStatus.LOST,
        messages.EndpointStatus.INVALID,
    }
)


def receive_reply(
    state: states.OwnerState, reply: messages.EndpointReply, now_ms: int
) -> list[command.Command]:
    """Free the slot, record the endpoint's health, and end or retry the call.

    A reply to an unknown call id is counted and ignored.
    """
    call = state.calls.pop(reply.call_id, None)
    if call is None:
        return [messages.Count('owner.replies.unknown')]
    set_state = state.sets[call.replica_set]
    commands = _release_slot(state, set_state, call, reply, now_ms)
    call.running.pop(reply.call_id, None)
    if not call.done:
        commands += _finish_or_retry(state, set_state, call, reply, now_ms)
    return commands + dispatching.dispatch(state, set_state, now_ms)


def _release_slot(
    state: states.OwnerState,
    set_state: replica_set_state.ReplicaSetState,
    call: pending_call.PendingCall,
    reply: messages.EndpointReply,
    now_ms: int,
) -> list[command.Command]:
    """Free the slot and update the endpoint's health and leaving state."""
    used = set_state.running_by_rank.get(call.rank, 0)
    set_state.running_by_rank[call.rank] = max(used - 1, 0)
    replica = set_state.replicas.get(reply.endpoint)
    if replica is None:
        return []
    started_ms = replica.running.pop(reply.call_id, now_ms)
    commands: list[command.Command] = []
    if reply.leaving:
        commands += leaving_notices.apply_leaving_reply(
            state, reply.endpoint, now_ms
        )
    if call.done:
        health.record_cancelled(replica, now_ms - started_ms, now_ms)
        return commands
    if reply.status == messages.EndpointStatus.OK:
        health.record_success(replica, now_ms - started_ms, now_ms)
    elif reply.status == messages.EndpointStatus.SHED:
        health.record_shed(replica, now_ms)
    elif reply.status in _FAILURE_STATUSES:
        if health.record_failure(set_state, replica, now_ms):
            commands.append(_ejection_decision(replica.endpoint.name, reply))
    return commands


def _finish_or_retry(
    state: states.OwnerState,
    set_state: replica_set_state.ReplicaSetState,
    call: pending_call.PendingCall,
    reply: messages.EndpointReply,
    now_ms: int,
) -> list[command.Command]:
    reason = _missing_reason(call, reply, now_ms)
    if not reason:
        return result.finish(
            state,
            call,
            messages.PartOutcome.COVERED,
            reason,
            reply.payload,
            reply.endpoint,
        )
    if call.running:
        return []
    if _may_retry(state, set_state, call, reply, now_ms):
        set_state.retries.append(call)
        return [messages.Count('owner.retries')]
    outcome = messages.PartOutcome.FAILED
    if not reply.executed and len(call.tried) == 1:
        outcome = messages.PartOutcome.NOT_RUN
    return result.finish(state, call, outcome, reason, b'', reply.endpoint)


def _missing_reason(
    call: pending_call.PendingCall,
    reply: messages.EndpointReply,
    now_ms: int,
) -> messages.MissingReason:
    """Return why a reply is not the requested result, or NONE."""
    if reply.status != messages.EndpointStatus.OK:
        if call.deadline_at_ms <= now_ms:
            return messages.MissingReason.DEADLINE
        return _REASONS.get(
            reply.status, messages.MissingReason.ENDPOINT_FAILED
        )
    if reply.shard != call.key.shard:
        return messages.MissingReason.WRONG_SHARD
    if reply.version != call.version:
        return messages.MissingReason.VERSION_MISMATCH
    return messages.MissingReason.NONE


def _may_retry(
    state: states.OwnerState,
    set_state: replica_set_state.ReplicaSetState,
    call: pending_call.PendingCall,
    reply: messages.EndpointReply,
    now_ms: int,
) -> bool:
    """Return whether another replica may be tried, and charge the budget.

    An endpoint that is draining or unreachable has not executed the
    request, so the retry adds no load and is not charged. If it were, a
    lost replica would exhaust the budget, and its calls would be missing
    although another replica could run them.
    """
    if call.is_mutation() or call.deadline_at_ms <= now_ms:
        return False
    if not replica_choice.usable_replicas(set_state, call.tried, now_ms):
        return False
    if reply.status in _FREE_RETRY_STATUSES:
        return True
    if is_shedding(state, call.replica_set[0]):
        return False
    return state.budget(call.replica_set[0]).spend()


def is_shedding(state: states.OwnerState, service: str) -> bool:
    """Return whether this owner sheds any rank of a service."""
    for key, set_state in state.sets.items():
        if key[0] != service:
            continue
        if any(a.shedding() for a in set_state.admissions.values()):
            return True
    return False


def _ejection_decision(
    endpoint: str, reply: messages.EndpointReply
) -> messages.Decision:
    return messages.Decision(
        'eject_endpoint', str(reply.status), {'endpoint': endpoint}
    )
