"""Choice of the source that a node polls for store updates."""

from gypsumbridge_decisions.relaying import peer_node
from gypsumbridge_decisions.relaying import relay_state
from gypsumbridge_decisions.relaying import update_source
from gypsumbridge_decisions.routing import rendezvous

# The first node of a failure domain watches the store. If it is unavailable,
# the second does, then the third; with all three unavailable, every node does.
MAX_CANDIDATES = 3
# While no source is available, peers are polled again after this time, which
# costs no call to the store.
PEER_RETRY_MS = 1_000
# The store answers a relay at least every 1.5 s, with or without changes. A
# confirmation older than this means that a connection on the path has failed
# undetected.
STALE_MS = 1_900
MAX_POLL_MS = 1_500
MIN_POLL_MS = 100
# If two nodes have lost the store, it is probably down for all nodes. Refused
# calls are billed, so the other nodes leave the calls to those two while their
# own copies are fresh.
OUTAGE_PEERS = 2


def candidates(state: relay_state.RelayState) -> list[peer_node.PeerNode]:
    """Return the relays of this node's failure domain, in order of rank.

    All nodes with the same set of nodes compute the same order, and each
    node polls only those before it, so no two nodes poll each other.
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
    """Return whether a fleet of this size relays updates between nodes."""
    return bool(state.own.address) and nodes > state.direct_nodes


def peers_ahead(
    state: relay_state.RelayState, nodes: int
) -> list[peer_node.PeerNode]:
    """Return the nodes that this one may poll, in order of rank."""
    if not is_relayed(state, nodes):
        return []
    found: list[peer_node.PeerNode] = []
    for peer in candidates(state):
        if peer.node_id == state.own.node_id:
            break
        found.append(peer)
    return found


def choose_source(
    state: relay_state.RelayState, nodes: int, age_ms: int, now_ms: int
) -> update_source.UpdateSource:
    """Return the peer to poll for updates, or the store.

    `age_ms` is the age of this node's last confirmation. Once it is stale,
    the node watches the store, whatever its peers report.
    """
    ahead = peers_ahead(state, nodes)
    if not ahead:
        return update_source.UpdateSource(None)
    store_excluded = now_ms < state.store_excluded_until_ms
    stale = age_ms >= STALE_MS
    if stale and not store_excluded:
        return update_source.UpdateSource(None)
    fresh_ms = max(0, STALE_MS - age_ms)
    poll_ms = MAX_POLL_MS
    if not stale:
        poll_ms = max(MIN_POLL_MS, min(fresh_ms, MAX_POLL_MS))
    for peer in ahead:
        if state.excluded_until_ms.get(peer.node_id, 0) <= now_ms:
            return update_source.UpdateSource(peer, poll_ms)
    if store_excluded:
        return update_source.UpdateSource(None, delay_ms=PEER_RETRY_MS)
    outage = len(state.outdated_peers) >= OUTAGE_PEERS
    if outage and not state.store_answered:
        delay_ms = max(MIN_POLL_MS, min(fresh_ms, PEER_RETRY_MS))
        return update_source.UpdateSource(None, delay_ms=delay_ms)
    return update_source.UpdateSource(None)
