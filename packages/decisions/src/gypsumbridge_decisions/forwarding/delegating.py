"""Delegation of gathers to coordinators."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import acceptance_timer
from gypsumbridge_decisions.forwarding import arrival
from gypsumbridge_decisions.forwarding import caller_request
from gypsumbridge_decisions.forwarding import caller_response
from gypsumbridge_decisions.forwarding import cancel_delegation
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import coordinator_health
from gypsumbridge_decisions.forwarding import delegate_request
from gypsumbridge_decisions.forwarding import delegated_request
from gypsumbridge_decisions.forwarding import delegation as delegations
from gypsumbridge_decisions.forwarding import delegation_accepted
from gypsumbridge_decisions.forwarding import delegation_ended
from gypsumbridge_decisions.forwarding import expiry_timer
from gypsumbridge_decisions.forwarding import final_response
from gypsumbridge_decisions.forwarding import refusing
from gypsumbridge_decisions.forwarding import route as routes
from gypsumbridge_decisions.forwarding import route_table
from gypsumbridge_decisions.forwarding import state as states
from gypsumbridge_decisions.relaying import peer_node

# A coordinator confirms a request within this share of the objective, unless
# it is frozen, unreachable or overloaded.
ACCEPTANCE_SHARE = 0.25
MIN_ACCEPTANCE_MS = 10
MAX_ACCEPTANCE_MS = 50
# A timer that fires this late shows that this node was delayed. The
# confirmation may have arrived meanwhile.
LATE_TIMER_MS = 5
# The time from the arrival of a coordinator's response to the last packet that
# the caller receives, without the time on the network.
RETURN_MARGIN_MS = 3


def receive(
    state: states.ForwardingState,
    request: caller_request.CallerRequest,
    now_ms: int,
) -> list[command.Command]:
    """Refuse a caller's request, delegate it, or send its attempts."""
    if state.draining:
        return refusing.refuse(request, 'draining')
    table = state.table
    if table is None:
        return refusing.refuse(request, 'no_routes_yet')
    path = request.target.partition('?')[0]
    route = route_table.find_route(table, request.host, path)
    if route is None:
        return refusing.reject(request, arrival.STATUS_NO_ROUTE, 'no_route')
    expires_ms = arrival.expiry_ms(request, route)
    if expires_ms <= now_ms:
        return refusing.refuse(request, 'deadline_passed')
    return start_request(state, request, route, table.version, now_ms, False)


def start_request(
    state: states.ForwardingState,
    request: caller_request.CallerRequest,
    route: routes.Route,
    version: int,
    now_ms: int,
    repeated: bool,
) -> list[command.Command]:
    """Delegate a request if it is a gather for another node, or run it."""
    chosen = choose_coordinator(state, route, now_ms)
    if chosen is None:
        return arrival.start_exchange(
            state, request, route, version, now_ms, repeated
        )
    expires_ms = arrival.expiry_ms(request, route)
    state.delegations[request.call_id] = delegations.Delegation(
        request, route, version, chosen.node_id, expires_ms, repeated
    )
    health_of(state, chosen.node_id).in_flight += 1
    wait_ms = acceptance_ms(route)
    due_ms = now_ms + wait_ms
    passed_ms = now_ms - request.arrived_ms + RETURN_MARGIN_MS
    delegated = dataclasses.replace(
        request,
        deadline_ms=max(1, expires_ms - now_ms),
        network_ms=request.network_ms + passed_ms,
    )
    return [
        delegate_request.DelegateRequest(
            request.call_id,
            chosen,
            delegated_request.DelegatedRequest(delegated, version, repeated),
        ),
        messages.Timer(
            wait_ms,
            acceptance_timer.AcceptanceTimer(
                request.call_id, chosen.node_id, due_ms
            ),
        ),
        messages.Timer(
            expires_ms - now_ms, expiry_timer.ExpiryTimer(request.call_id)
        ),
        messages.Count('forwarding.delegated'),
    ]


def acceptance_ms(route: routes.Route) -> int:
    """Return the time within which a coordinator confirms a request."""
    share_ms = int(route.objective_ms * ACCEPTANCE_SHARE)
    return max(MIN_ACCEPTANCE_MS, min(share_ms, MAX_ACCEPTANCE_MS))


def choose_coordinator(
    state: states.ForwardingState, route: routes.Route, now_ms: int
) -> peer_node.PeerNode | None:
    """Return the least busy coordinator, a nearby one if there is any.

    Returns None if this node gathers the parts itself.
    """
    if route.gather is None:
        return None
    plan = state.coordination.plan_for(route.targets[0].service)
    if plan.gathers_itself:
        return None
    for group in (plan.nearby, plan.remote):
        usable = [
            node
            for node in group
            if health_of(state, node.node_id).excluded_until_ms <= now_ms
        ]
        if not usable:
            continue
        state.last_coordinator += 1
        first = state.last_coordinator % len(usable)
        return min(
            usable[first:] + usable[:first],
            key=lambda node: health_of(state, node.node_id).in_flight,
        )
    return None


def health_of(
    state: states.ForwardingState, node_id: str
) -> coordinator_health.CoordinatorHealth:
    """Return the health of a coordinator, created on first use."""
    found = state.coordinators.get(node_id)
    if found is None:
        found = coordinator_health.CoordinatorHealth()
        state.coordinators[node_id] = found
    return found


def handle_acceptance(
    state: states.ForwardingState,
    accepted: delegation_accepted.DelegationAccepted,
) -> list[command.Command]:
    """Record that the coordinator has the request."""
    found = state.delegations.get(accepted.call_id)
    if found is not None:
        found.accepted = True
    return []


def handle_acceptance_timer(
    state: states.ForwardingState,
    timer: acceptance_timer.AcceptanceTimer,
    now_ms: int,
) -> list[command.Command]:
    """Gather a request elsewhere if its coordinator does not react."""
    found = state.delegations.get(timer.call_id)
    if (
        found is None
        or found.accepted
        or found.coordinator_id != timer.coordinator_id
    ):
        return []
    if now_ms - timer.due_ms >= LATE_TIMER_MS and not found.timer_extended:
        found.timer_extended = True
        wait_ms = acceptance_ms(found.route)
        again = dataclasses.replace(timer, due_ms=now_ms + wait_ms)
        return [messages.Timer(wait_ms, again)]
    pop_delegation(state, timer.call_id)
    health_of(state, found.coordinator_id).record_failure(now_ms)
    return [
        cancel_delegation.CancelDelegation(timer.call_id, suspect=True),
        log_lost(found, 'not_accepted'),
        messages.Count('forwarding.delegations_lost.not_accepted'),
        *repeat_request(state, found, now_ms),
    ]


def handle_end(
    state: states.ForwardingState,
    ended: delegation_ended.DelegationEnded,
    now_ms: int,
) -> list[command.Command]:
    """Relay a coordinator's response, or gather the request elsewhere."""
    found = pop_delegation(state, ended.call_id)
    if found is None:
        return []
    health = health_of(state, found.coordinator_id)
    if ended.response is not None:
        health.record_answer()
        return relay_response(found, ended.response, now_ms)
    if ended.refusal:
        health.record_refusal(now_ms)
        commands: list[command.Command] = [
            log_lost(found, ended.refusal),
            messages.Count(f'forwarding.delegations_refused.{ended.refusal}'),
        ]
        return commands + start_request(
            state,
            found.request,
            found.route,
            found.version,
            now_ms,
            found.repeated,
        )
    health.record_failure(now_ms)
    commands = [
        log_lost(found, ended.failure),
        messages.Count(f'forwarding.delegations_lost.{ended.failure}'),
    ]
    if not ended.sent:
        return commands + start_request(
            state,
            found.request,
            found.route,
            found.version,
            now_ms,
            found.repeated,
        )
    if not found.accepted:
        return commands + repeat_request(state, found, now_ms)
    # Attempts at two searchers of a service may have been sent for it.
    failed = caller_response.CallerResponse(
        found.request.call_id, final_response.STATUS_BAD_GATEWAY
    )
    return commands + relay_response(found, failed, now_ms)


def repeat_request(
    state: states.ForwardingState,
    found: delegations.Delegation,
    now_ms: int,
) -> list[command.Command]:
    """Gather a request that a coordinator may have begun to gather.

    After a second coordinator that did not react, this node gathers.
    """
    if found.repeated:
        return arrival.start_exchange(
            state, found.request, found.route, found.version, now_ms, True
        )
    return start_request(
        state, found.request, found.route, found.version, now_ms, True
    )


def cancel_delegated(
    state: states.ForwardingState, call_id: int
) -> list[command.Command]:
    """Cancel the delegated request of a caller that disconnected."""
    if pop_delegation(state, call_id) is None:
        return []
    return [
        cancel_delegation.CancelDelegation(call_id, suspect=False),
        messages.Count('forwarding.callers_gone'),
    ]


def expire_delegated(
    state: states.ForwardingState, call_id: int, now_ms: int
) -> list[command.Command]:
    """Answer a delegated request whose deadline has passed."""
    found = pop_delegation(state, call_id)
    if found is None:
        return []
    expired = caller_response.CallerResponse(
        call_id, final_response.STATUS_TIMEOUT
    )
    return [
        cancel_delegation.CancelDelegation(call_id, suspect=False),
        *relay_response(found, expired, now_ms),
    ]


def pop_delegation(
    state: states.ForwardingState, call_id: int
) -> delegations.Delegation | None:
    """Remove and return the delegation of a request, if there is one."""
    found = state.delegations.pop(call_id, None)
    if found is not None:
        health_of(state, found.coordinator_id).in_flight -= 1
    return found


def relay_response(
    found: delegations.Delegation,
    response: caller_response.CallerResponse,
    now_ms: int,
) -> list[command.Command]:
    """Return the final response to the caller, and its log line."""
    after_ms = now_ms - found.request.arrived_ms
    fields: dict[str, str | int | float] = {
        'request_id': found.request.request_id,
        'route': found.route.name,
        'version': found.version,
        'status': response.status,
        'after_ms': after_ms,
        'coordinator': found.coordinator_id,
    }
    return [
        dataclasses.replace(
            response,
            call_id=found.request.call_id,
            objective_route='',
            due_ms=0,
        ),
        messages.Decision('delegation_finished', 'answered', fields),
        messages.Observe(
            f'forwarding.latency.rank_{found.route.rank}', after_ms
        ),
    ]


def log_lost(found: delegations.Delegation, reason: str) -> messages.Decision:
    """Return the log line of a gather that its coordinator did not finish."""
    fields: dict[str, str | int | float] = {
        'request_id': found.request.request_id,
        'coordinator': found.coordinator_id,
        'version': found.version,
    }
    return messages.Decision('delegation_lost', reason, fields)
