"""A command to poll another node for store updates."""

import dataclasses

from gypsumbridge_decisions.relaying import peer_node


@dataclasses.dataclass(frozen=True)
class WatchPeer:
    """Answered by PeerAnswered or PeerFailed."""

    peer: peer_node.PeerNode
    after_revision: int
    wait_ms: int
    era: int = 0
