"""An order to write this node's own key."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class WriteNode:
    """Answered by NodeWritten."""
