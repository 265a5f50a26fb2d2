"""Choice of the node that is asked for news."""

from gypsumbridge_decisions.relaying import news_source
from gypsumbridge_decisions.relaying import peer_node
from gypsumbridge_decisions.relaying import relay_state
from gypsumbridge_decisions.routing import rendezvous

# The first node of a failure domain watches the store. If it can't be used
# the second does, then the third; with all three out, every node does.
MAX_CANDIDATES = 3
# While no peer has news and the store was just tried, peers are asked again
# after this time. That costs no call to the store.
WAIT_MS = 1_000
# A relay hears from the store at least every 1.5 s, with or without changes.
# News that are older mean that something on the way has failed unnoticed.
STALE_MS = 1_900
MAX_POLL_MS = 1_500
MIN_POLL_MS = 100
# Where two nodes have lost the store it is probably down for all. Refused
# calls are paid for, so the others leave it to those two while their own
# news are fresh.
OUTAGE_PEERS = 2


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


def peers_ahead(
    state: relay_state.RelayState, nodes: int
) -> list[peer_node.PeerNode]:
    """Return the nodes that this one may ask, in order."""
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
) -> news_source.NewsSource:
    """Return the node to ask for news, or the store itself.

    A node whose own news are `age_ms` old does not rely on its peers once
    they are stale, whatever those say.
    """
    ahead = peers_ahead(state, nodes)
    if not ahead:
        return news_source.NewsSource(None)
    store_barred = now_ms < state.store_barred_until_ms
    stale = age_ms >= STALE_MS
    if stale and not store_barred:
        return news_source.NewsSource(None)
    fresh_ms = max(0, STALE_MS - age_ms)
    poll_ms = MAX_POLL_MS
    if not stale:
        poll_ms = max(MIN_POLL_MS, min(fresh_ms, MAX_POLL_MS))
    for peer in ahead:
        if state.barred_until_ms.get(peer.node_id, 0) <= now_ms:
            return news_source.NewsSource(peer, poll_ms)
    if store_barred:
        return news_source.NewsSource(None, delay_ms=WAIT_MS)
    outage = len(state.without_news) >= OUTAGE_PEERS
    if outage and not state.store_answers:
        delay_ms = max(MIN_POLL_MS, min(fresh_ms, WAIT_MS))
        return news_source.NewsSource(None, delay_ms=delay_ms)
    return news_source.NewsSource(None)
