"""The timer for the next poll of work in flight."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PollTimer:
    """Set while the node is draining."""
