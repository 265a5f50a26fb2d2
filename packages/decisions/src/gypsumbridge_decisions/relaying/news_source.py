"""Where a node gets its news."""

import dataclasses

from gypsumbridge_decisions.relaying import peer_node


@dataclasses.dataclass(frozen=True)
class NewsSource:
    """The peer to ask, or the store itself without one.

    A peer may hold the poll for `poll_ms`. With a `delay_ms` above 0
    nothing can be asked before it has passed.
    """

    peer: peer_node.PeerNode | None
    poll_ms: int = 0
    delay_ms: int = 0
