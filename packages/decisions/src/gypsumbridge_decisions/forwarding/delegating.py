"""Delegation of whole gathers to coordinators."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import admission
from gypsumbridge_decisions.forwarding import arrival
from gypsumbridge_decisions.forwarding import caller_request
from gypsumbridge_decisions.forwarding import caller_response
from gypsumbridge_decisions.forwarding import cancel_delegation
from gypsumbridge_decisions.forwarding import checked_request
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import customer_check
from gypsumbridge_decisions.forwarding import delegation as delegations
from gypsumbridge_decisions.forwarding import delegation_sending
from gypsumbridge_decisions.forwarding import expiry_timer
from gypsumbridge_decisions.forwarding import final_response
from gypsumbridge_decisions.forwarding import placement
from gypsumbridge_decisions.forwarding import ranking
from gypsumbridge_decisions.forwarding import refusing
from gypsumbridge_decisions.forwarding import request_placement
from gypsumbridge_decisions.forwarding import route as routes
from gypsumbridge_decisions.forwarding import route_table
from gypsumbridge_decisions.forwarding import state as states
from gypsumbridge_decisions.relaying import peer_node

# The time from the arrival of a coordinator's response to the last packet that
# the caller receives, without the time on the network.
RETURN_MARGIN_MS = 3


def receive(
    state: states.ForwardingState,
    request: caller_request.CallerRequest,
    now_ms: int,
    boot_ms: int,
) -> list[command.Command]:
    """Refuse a caller's request, delegate it, or send its attempts.

    `boot_ms` is the time on the clock that counts suspended time.
    """
    if state.draining:
        return refusing.refuse(request, 'draining')
    table = state.table
    if table is None:
        return refusing.refuse(request, 'no_routes_yet')
    path = request.target.partition('?')[0]
    route = route_table.find_route(table, request.host, path)
    if route is None:
        return customer_check.refuse_unknown_route(
            state, table, request, boot_ms
        )
    checked = customer_check.check_customer(table, route, request)
    if checked is None:
        return customer_check.refuse_unknown_key(
            state, table, request, boot_ms
        )
    expires_ms = arrival.expiry_ms(request, route)
    if expires_ms <= now_ms:
        return refusing.refuse(request, 'deadline_passed')
    return admit(state, checked, now_ms)


def admit(
    state: states.ForwardingState,
    checked: checked_request.CheckedRequest,
    now_ms: int,
) -> list[command.Command]:
    """Start a request whose customer is known, or let its quota decide."""
    customer = checked.customer
    if customer is not None and customer.is_limited():
        return admission.wait_for_admission(state, checked, now_ms)
    return start_request(
        state, checked.request, checked.route, checked.version, now_ms
    )


def start_request(
    state: states.ForwardingState,
    request: caller_request.CallerRequest,
    route: routes.Route,
    version: int,
    now_ms: int,
) -> list[command.Command]:
    """Delegate a request if it is a gather for another node, or run it."""
    chosen = choose_coordinator(state, request, route, version, now_ms)
    if route.gather is None:
        chosen = request_placement.choose_single_coordinator(
            state, request, route, version, now_ms
        )
    if chosen is None:
        return arrival.start_exchange(state, request, route, version, now_ms)
    expires_ms = arrival.expiry_ms(request, route)
    delegation = delegations.Delegation(
        request, route, version, chosen.node_id, expires_ms, ()
    )
    commands = delegation_sending.send_delegation(
        state, delegation, chosen, RETURN_MARGIN_MS, now_ms
    )
    state.delegated_calls[request.call_id] = state.last_delegation_id
    return [
        *commands,
        messages.Timer(
            expires_ms - now_ms, expiry_timer.ExpiryTimer(request.call_id)
        ),
        *(
            [messages.Count('forwarding.delegated')]
            if route.gather is not None
            else request_placement.report(delegation)
        ),
    ]


def choose_coordinator(
    state: states.ForwardingState,
    request: caller_request.CallerRequest,
    route: routes.Route,
    version: int,
    now_ms: int,
) -> peer_node.PeerNode | None:
    """Return the least busy coordinator, a nearby one if there is any.

    Returns None if this node gathers the parts itself, as it does if no
    coordinator is in the request's homes.
    """
    if route.gather is None:
        return None
    plan = state.coordination.plan_for(route.targets[0].service)
    if plan.gathers_itself:
        return None
    domains = placement.allowed_domains(
        state.policy, state.table_for(version), request, route
    )
    for nodes in (plan.nearby, plan.remote):
        chosen = delegation_sending.choose_least_busy(
            state, placement.placed_nodes(nodes, domains), now_ms
        )
        if chosen is not None:
            return chosen
    return None


def cancel_delegated(
    state: states.ForwardingState, call_id: int
) -> list[command.Command]:
    """Cancel the delegated request of a caller that disconnected."""
    delegation_id = state.delegated_calls.get(call_id)
    if delegation_id is None:
        return []
    delegation_sending.pop_delegation(state, delegation_id)
    return [
        cancel_delegation.CancelDelegation(delegation_id, suspect=False),
        messages.Count('forwarding.callers_gone'),
    ]


def expire_delegated(
    state: states.ForwardingState, call_id: int, now_ms: int
) -> list[command.Command]:
    """Answer a delegated request whose deadline has passed."""
    delegation_id = state.delegated_calls.get(call_id)
    if delegation_id is None:
        return []
    found = delegation_sending.pop_delegation(state, delegation_id)
    if found is None:
        return []
    expired = caller_response.CallerResponse(
        call_id, final_response.STATUS_TIMEOUT
    )
    return [
        cancel_delegation.CancelDelegation(delegation_id, suspect=False),
        *relay_response(found, expired, now_ms),
    ]


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
    if found.request.customer:
        fields['customer'] = found.request.customer
    rank = ranking.rank_of(found.request, found.route)
    return [
        dataclasses.replace(
            response,
            call_id=found.request.call_id,
            objective_route='',
            due_ms=0,
        ),
        messages.Decision('delegation_finished', 'answered', fields),
        messages.Observe(f'forwarding.latency.rank_{rank}', after_ms),
    ]
