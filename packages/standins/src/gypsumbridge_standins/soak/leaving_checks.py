"""Checks that an endpoint that is leaving receives no new work."""

from gypsumbridge_decisions import messages
from gypsumbridge_standins.soak import reporting
from gypsumbridge_standins.soak import soak_state

# An endpoint that is leaving may receive new work for this long.
LEAVING_BOUND_MS = 3_000


def hear_reply(
    state: soak_state.SoakState, node_id: str, endpoint: str
) -> None:
    """Note when an endpoint first told a node that it is leaving."""
    start(state, node_id, endpoint)


def hear_hosts(state: soak_state.SoakState, hosts: messages.HostList) -> None:
    """Note when the host list first names an endpoint."""
    newest = state.replay.hosts.versions[-1][1]
    for host in hosts.hosts:
        if host.leaving and host in newest.hosts:
            state.leaving_since_ms.setdefault(host.name, state.now_ms())


def hear_revision(
    state: soak_state.SoakState, node_id: str, revision: int
) -> None:
    """Note when a node first has an operator's declaration."""
    for endpoint, declared in state.declared_leaving.items():
        if revision >= declared:
            start(state, node_id, endpoint)


def start(state: soak_state.SoakState, node_id: str, endpoint: str) -> None:
    """Start the bound of an endpoint if the node is not held up."""
    if not state.troubled.get(node_id):
        state.leaving_since_ms.setdefault(endpoint, state.now_ms())


def check_send(
    state: soak_state.SoakState, node_id: str, endpoint: str
) -> None:
    """Check a request to an endpoint against the bound."""
    since_ms = state.leaving_since_ms.get(endpoint)
    if since_ms is None or state.troubled.get(node_id):
        return
    since_ms = max(since_ms, state.trouble_ms.get(node_id, 0))
    after_ms = state.now_ms() - since_ms
    if after_ms > LEAVING_BOUND_MS:
        raise reporting.broken(
            state, f'{endpoint} got work {after_ms} ms after leaving'
        )
