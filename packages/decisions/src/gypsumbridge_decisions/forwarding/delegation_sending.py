"""Sending gathers to coordinators."""

from collections.abc import Iterable
import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import acceptance_timer
from gypsumbridge_decisions.forwarding import cancel_delegation
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import coordinator_health
from gypsumbridge_decisions.forwarding import delegate_request
from gypsumbridge_decisions.forwarding import delegated_request
from gypsumbridge_decisions.forwarding import delegation as delegations
from gypsumbridge_decisions.forwarding import exchange as exchanges
from gypsumbridge_decisions.forwarding import route as routes
from gypsumbridge_decisions.forwarding import state as states
from gypsumbridge_decisions.relaying import peer_node

# A coordinator confirms a request within this share of the objective, unless
# it is frozen, unreachable or overloaded.
ACCEPTANCE_SHARE = 0.25
MIN_ACCEPTANCE_MS = 10
MAX_ACCEPTANCE_MS = 50


def send_delegation(
    state: states.ForwardingState,
    delegation: delegations.Delegation,
    coordinator: peer_node.PeerNode,
    own_ms: float,
    now_ms: int,
) -> list[command.Command]:
    """Record a delegation, and return the commands to send it.

    `own_ms` is the time that this node needs after the coordinator's
    response until the caller has read its own.
    """
    state.last_delegation_id += 1
    delegation_id = state.last_delegation_id
    state.delegations[delegation_id] = delegation
    health_of(state, coordinator.node_id).in_flight += 1
    request = delegation.request
    wait_ms = acceptance_ms(delegation.route)
    passed_ms = now_ms - request.arrived_ms + own_ms
    delegated = delegated_request.DelegatedRequest(
        dataclasses.replace(
            request,
            deadline_ms=max(1, delegation.expires_ms - now_ms),
            network_ms=request.network_ms + passed_ms,
        ),
        delegation.version,
        delegation.services,
        delegation_id,
    )
    return [
        delegate_request.DelegateRequest(
            delegation_id, coordinator, delegated
        ),
        messages.Timer(
            wait_ms,
            acceptance_timer.AcceptanceTimer(delegation_id, now_ms + wait_ms),
        ),
    ]


def acceptance_ms(route: routes.Route) -> int:
    """Return the time within which a coordinator confirms a request."""
    share_ms = int(route.objective_ms * ACCEPTANCE_SHARE)
    return max(MIN_ACCEPTANCE_MS, min(share_ms, MAX_ACCEPTANCE_MS))


def choose_least_busy(
    state: states.ForwardingState,
    nodes: Iterable[peer_node.PeerNode],
    now_ms: int,
) -> peer_node.PeerNode | None:
    """Return the usable coordinator with the fewest gathers of this node."""
    usable = [
        node
        for node in nodes
        if health_of(state, node.node_id).excluded_until_ms <= now_ms
    ]
    if not usable:
        return None
    state.last_coordinator += 1
    first = state.last_coordinator % len(usable)
    return min(
        usable[first:] + usable[:first],
        key=lambda node: health_of(state, node.node_id).in_flight,
    )


def health_of(
    state: states.ForwardingState, node_id: str
) -> coordinator_health.CoordinatorHealth:
    """Return the health of a coordinator, created on first use."""
    found = state.coordinators.get(node_id)
    if found is None:
        found = coordinator_health.CoordinatorHealth()
        state.coordinators[node_id] = found
    return found


def pop_delegation(
    state: states.ForwardingState, delegation_id: int
) -> delegations.Delegation | None:
    """Remove and return a delegation, if it has not ended yet."""
    found = state.delegations.pop(delegation_id, None)
    if found is not None:
        health_of(state, found.coordinator_id).in_flight -= 1
        if not found.services:
            state.delegated_calls.pop(found.request.call_id, None)
    return found


def cancel_groups(
    state: states.ForwardingState, exchange: exchanges.Exchange
) -> list[command.Command]:
    """Cancel the groups of a request that other nodes still gather."""
    commands: list[command.Command] = []
    for delegation_id in exchange.groups:
        if pop_delegation(state, delegation_id) is None:
            continue
        commands.append(
            cancel_delegation.CancelDelegation(delegation_id, suspect=False)
        )
    return commands


def log_lost(found: delegations.Delegation, reason: str) -> messages.Decision:
    """Return the log line of a gather that its coordinator did not finish."""
    fields: dict[str, str | int | float] = {
        'request_id': found.request.request_id,
        'coordinator': found.coordinator_id,
        'version': found.version,
        'services': len(found.services),
    }
    return messages.Decision('delegation_lost', reason, fields)
