"""Gathers that other nodes delegate to this one."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import accept_delegated
from gypsumbridge_decisions.forwarding import arrival
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import delegated_request
from gypsumbridge_decisions.forwarding import refuse_delegated as refusals
from gypsumbridge_decisions.forwarding import route_table
from gypsumbridge_decisions.forwarding import state as states

# Timers that fire this late on average show that this node is overloaded.
MAX_TIMER_LAG_MS = 30
# An older measurement says nothing about the present load.
MAX_LAG_AGE_MS = 1_000


def receive_delegated(
    state: states.ForwardingState,
    message: delegated_request.DelegatedRequest,
    now_ms: int,
) -> list[command.Command]:
    """Gather the parts of a request, or refuse it before any attempt.

    The routes must have the version that the delegating node uses, so that
    requests of one caller are never handled by an older version again.
    """
    request = message.request
    if state.draining:
        return refuse_delegated(request.call_id, 'draining')
    if is_overloaded(state, now_ms):
        return refuse_delegated(request.call_id, 'overloaded')
    table = state.table_of(message.version)
    if table is None:
        state.freshness.record_version(message.version)
        return refuse_delegated(request.call_id, 'version')
    path = request.target.partition('?')[0]
    route = route_table.find_route(table, request.host, path)
    if route is None:
        return refuse_delegated(request.call_id, 'route')
    if route.gather is None:
        if not state.controls_load() or not route.idempotent:
            return refuse_delegated(request.call_id, 'route')
    targets = {target.service for target in route.targets}
    if not targets.issuperset(message.services):
        return refuse_delegated(request.call_id, 'route')
    return [
        accept_delegated.AcceptDelegated(request.call_id),
        *arrival.start_exchange(
            state,
            request,
            route,
            table.version,
            now_ms,
            message.services,
        ),
    ]


def refuse_delegated(call_id: int, reason: str) -> list[command.Command]:
    """Refuse a delegated request, which another node then gathers."""
    return [
        refusals.RefuseDelegated(call_id, reason),
        messages.Count(f'forwarding.delegated_refused.{reason}'),
    ]


def is_overloaded(state: states.ForwardingState, now_ms: int) -> bool:
    """Return whether this node's timers have fired late recently."""
    if now_ms - state.timer_lag_at_ms > MAX_LAG_AGE_MS:
        return False
    return state.timer_lag_ms > MAX_TIMER_LAG_MS
