"""Choice of the node that is asked for news."""

from gypsumbridge_decisions.relaying import peer_node
from gypsumbridge_decisions.relaying import relay_state
from gypsumbridge_decisions.routing import rendezvous

# The first node of a failure domain watches the store. If it can't be used
# the second does, then the third; with all three out, every node does.
MAX_CANDIDATES = 3


def candidates(state: relay_state.RelayState) -> list[peer_node.PeerNode]:
    """Return the nodes of the own failure domain that relay news, in order.

    The order is the same at every node that knows the same nodes, and each
    node asks only those before it, so no two nodes ask each other.
    """
    domain = state.own.failure_domain
    found = [
        peer
        for peer in state.peers.values()
        if peer.failure_domain == domain and peer.address
    ]
    found.sort(
        key=lambda peer: (
            -peer.capacity,
            -rendezvous.weight(peer.node_id, domain),
            peer.node_id,
        )
    )
    return found[:MAX_CANDIDATES]


def is_relayed(state: relay_state.RelayState, nodes: int) -> bool:
    """Return whether a fleet of this size passes news from node to node."""
    return bool(state.own.address) and nodes > state.direct_nodes


def choose_source(
    state: relay_state.RelayState, nodes: int, now_ms: int
) -> peer_node.PeerNode | None:
    """Return the node to ask for news, or None for the store itself."""
    if not is_relayed(state, nodes):
        return None
    for peer in candidates(state):
        if peer.node_id == state.own.node_id:
            return None
        if state.barred_until_ms.get(peer.node_id, 0) <= now_ms:
            return peer
    return None


def is_first(state: relay_state.RelayState) -> bool:
    """Return whether this node is the first to watch the store."""
    found = candidates(state)
    return not found or found[0].node_id == state.own.node_id
