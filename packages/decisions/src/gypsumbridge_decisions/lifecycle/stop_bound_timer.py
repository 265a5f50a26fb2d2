"""The time bound of a graceful stop."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StopBoundTimer:
    """Ends the node with whatever is still in flight."""
