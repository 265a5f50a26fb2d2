"""Placement of requests to one searcher at coordinators.

A node that sees only a few of a service's requests cannot learn which of its
searchers is slow or full. One coordinator that gets all of them can.
"""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import caller_request
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import coordinator_plan
from gypsumbridge_decisions.forwarding import delegation as delegations
from gypsumbridge_decisions.forwarding import delegation_sending
from gypsumbridge_decisions.forwarding import grouping
from gypsumbridge_decisions.forwarding import placed_ending
from gypsumbridge_decisions.forwarding import placement
from gypsumbridge_decisions.forwarding import route as routes
from gypsumbridge_decisions.forwarding import state as states
from gypsumbridge_decisions.relaying import peer_node
from gypsumbridge_decisions.routing import rendezvous


def choose_single_coordinator(
    state: states.ForwardingState,
    request: caller_request.CallerRequest,
    route: routes.Route,
    version: int,
    now_ms: int,
) -> peer_node.PeerNode | None:
    """Return the coordinator of the service, or None to send from here.

    All nodes prefer the same one, so that it knows all requests in flight.
    The next one takes its place at nodes that have excluded it. Where all
    coordinators gather from the service, they share the requests to one
    searcher as well: in front of one of them, these would wait for slots that
    the gathers of the others take. Only nodes in the request's homes get it.
    """
    if not state.controls_load() or not is_placeable(route):
        return None
    service = route.targets[0].service
    plan = state.coordination.placements.get(service)
    if plan is None:
        return None
    domains = placement.allowed_domains(
        state.policy, state.table_for(version), request, route
    )
    if service in state.coordination.plans:
        return choose_gathering(state, plan, domains, now_ms)
    nodes = sorted(
        placement.placed_nodes((*plan.nearby, *plan.remote), domains),
        key=lambda node: rendezvous.weight(node.node_id, service),
        reverse=True,
    )
    for node in nodes:
        if node.node_id == state.policy.node_id:
            return None
        health = delegation_sending.health_of(state, node.node_id)
        if health.may_place(now_ms):
            return node
    return None


def choose_gathering(
    state: states.ForwardingState,
    plan: coordinator_plan.CoordinatorPlan,
    domains: placement.Domains,
    now_ms: int,
) -> peer_node.PeerNode | None:
    """Return the coordinator that would get a gather."""
    if plan.gathers_itself:
        return None
    for nodes in (plan.nearby, plan.remote):
        usable = [
            node
            for node in placement.placed_nodes(nodes, domains)
            if delegation_sending.health_of(state, node.node_id).may_place(
                now_ms
            )
        ]
        chosen = delegation_sending.choose_least_busy(state, usable, now_ms)
        if chosen is not None:
            return chosen
    return None


def is_placeable(route: routes.Route) -> bool:
    """Return whether another node may send a route's requests.

    The objective must leave room for the detour, and the node a run of its own
    for a coordinator that does not confirm the request.
    """
    if route.gather is not None or not route.idempotent:
        return False
    if route.max_attempts <= placed_ending.UNCONFIRMED_RUNS:
        return False
    share_ms = route.objective_ms * grouping.MAX_OVERHEAD_SHARE
    return share_ms >= grouping.OVERHEAD_MS


def report(found: delegations.Delegation) -> list[command.Command]:
    """Return the log line and the counter of a request that is placed."""
    fields: dict[str, str | int | float] = {
        'request_id': found.request.request_id,
        'route': found.route.name,
        'coordinator': found.coordinator_id,
    }
    return [
        messages.Decision('request_placed', 'coordinator', fields),
        messages.Count('forwarding.placed'),
    ]
