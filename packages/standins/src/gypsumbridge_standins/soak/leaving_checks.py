"""Checks that a leaving endpoint receives no new work after a bound."""

from gypsumbridge_decisions import messages
from gypsumbridge_standins.soak import reporting
from gypsumbridge_standins.soak import soak_state

# Time after which a leaving endpoint must receive no new work.
LEAVING_BOUND_MS = 3_000


def record_draining_reply(
    state: soak_state.SoakState, node_id: str, endpoint: str
) -> None:
    """Start the bound when a draining endpoint first replies to a node."""
    start_bound(state, node_id, endpoint)


def record_host_list(
    state: soak_state.SoakState, hosts: messages.HostList
) -> None:
    """Start the bound when the host list first shows an endpoint leaving."""
    newest = state.replay.hosts.versions[-1][1]
    for host in hosts.hosts:
        if host.leaving and host in newest.hosts:
            state.leaving_since_ms.setdefault(host.name, state.now_ms())


def record_revision(
    state: soak_state.SoakState, node_id: str, revision: int
) -> None:
    """Start the bound when a node first has an operator's declaration."""
    for endpoint, declared in state.declared_leaving.items():
        if revision >= declared:
            start_bound(state, node_id, endpoint)


def start_bound(
    state: soak_state.SoakState, node_id: str, endpoint: str
) -> None:
    """Start the bound of an endpoint unless the node is disturbed."""
    if not state.disturbances.get(node_id):
        state.leaving_since_ms.setdefault(endpoint, state.now_ms())


def check_send(
    state: soak_state.SoakState, node_id: str, endpoint: str
) -> None:
    """Check a request to an endpoint against the bound."""
    since_ms = state.leaving_since_ms.get(endpoint)
    if since_ms is None or state.disturbances.get(node_id):
        return
    since_ms = max(since_ms, state.last_disturbed_ms.get(node_id, 0))
    after_ms = state.now_ms() - since_ms
    if after_ms > LEAVING_BOUND_MS:
        raise reporting.violation(
            state, f'{endpoint} got a request {after_ms} ms after leaving'
        )
