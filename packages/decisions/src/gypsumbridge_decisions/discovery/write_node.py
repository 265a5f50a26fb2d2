"""A command to write this node's own key."""

import dataclasses

from gypsumbridge_decisions import relaying


@dataclasses.dataclass(frozen=True)
class WriteNode:
    """Answered by NodeWritten."""

    node: relaying.PeerNode
