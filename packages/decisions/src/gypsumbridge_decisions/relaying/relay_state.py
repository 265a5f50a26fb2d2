"""What a node knows of the others, and who waits for its news."""

from gypsumbridge_decisions.relaying import peer_node
from gypsumbridge_decisions.relaying import record_log


class RelayState:
    """The part of the discovery task's state that concerns other nodes.

    `peers` holds all nodes by id, this one included. A peer in
    `barred_until_ms` is not asked before then, on the node's clock;
    `failures` counts how often in a row a peer could not be used, and
    `without_news` holds the peers that said that they have no news. The
    store is not tried in place of peers before `store_barred_until_ms`;
    `store_answers` is set when it was tried with success since.
    `polls` holds what each waiting node knows already. `source` is the id
    of the node that is asked for news, or empty for the store itself.
    """

    def __init__(self, own: peer_node.PeerNode, direct_nodes: int) -> None:
        self.own = own
        self.direct_nodes = direct_nodes
        self.log = record_log.RecordLog()
        self.peers: dict[str, peer_node.PeerNode] = {}
        self.barred_until_ms: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.without_news: set[str] = set()
        self.store_barred_until_ms = 0
        self.store_answers = False
        self.polls: dict[int, int] = {}
        self.source = ''


def make_relay_state(own: peer_node.PeerNode, direct_nodes: int) -> RelayState:
    """Return the state of a node that has just started.

    In a fleet of up to `direct_nodes` every node watches the store itself.
    """
    return RelayState(own, direct_nodes)
