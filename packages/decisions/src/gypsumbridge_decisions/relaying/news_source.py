"""Where a node gets its news."""

import dataclasses

from gypsumbridge_decisions.relaying import peer_node


@dataclasses.dataclass(frozen=True)
class NewsSource:
    """The peer to ask, or the store itself without one.

    With a `wait_ms` above 0 neither can be asked before it has passed.
    """

    peer: peer_node.PeerNode | None
    wait_ms: int = 0
