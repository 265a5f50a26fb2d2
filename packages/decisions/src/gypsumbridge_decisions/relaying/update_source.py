"""The source of a node's store updates."""

import dataclasses

from gypsumbridge_decisions.relaying import peer_node


@dataclasses.dataclass(frozen=True)
class UpdateSource:
    """The peer to poll; the store if `peer` is None.

    A peer may hold the poll open for `poll_ms`. With a `delay_ms` above 0
    no source is available until that time has passed.
    """

    peer: peer_node.PeerNode | None
    poll_ms: int = 0
    delay_ms: int = 0
