"""State of polling other nodes and of answering their polls."""

from gypsumbridge_decisions.relaying import peer_node
from gypsumbridge_decisions.relaying import poll_arrived
from gypsumbridge_decisions.relaying import record_log


class RelayState:
    """The part of the discovery task's state that concerns other nodes.

    `peers` holds all nodes by id, including this one. A peer is not polled
    before its time in `excluded_until_ms`, on the node's clock; `failures`
    counts its consecutive failed polls. `outdated_peers` holds the peers
    that reported that they are not up to date. The store is not called
    instead of peers before `store_excluded_until_ms`; `store_answered` is
    set when a call has succeeded since a peer was last up to date. `polls`
    holds the waiting polls. `source` is the
    id of the node that is polled for updates, or empty for the store.
    """

    def __init__(self, own: peer_node.PeerNode, direct_nodes: int) -> None:
        self.own = own
        self.direct_nodes = direct_nodes
        self.log = record_log.RecordLog()
        self.peers: dict[str, peer_node.PeerNode] = {}
        self.excluded_until_ms: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.outdated_peers: set[str] = set()
        self.store_excluded_until_ms = 0
        self.store_answered = False
        self.polls: dict[int, poll_arrived.PollArrived] = {}
        self.source = ''


def make_relay_state(own: peer_node.PeerNode, direct_nodes: int) -> RelayState:
    """Return the state of a node that has just started.

    In a fleet of up to `direct_nodes` nodes, each one watches the store.
    """
    return RelayState(own, direct_nodes)
