"""An order to ask another node for news."""

import dataclasses

from gypsumbridge_decisions.relaying import peer_node


@dataclasses.dataclass(frozen=True)
class WatchPeer:
    """Answered by PeerAnswered or PeerFailed."""

    peer: peer_node.PeerNode
    after_revision: int
    wait_ms: int
