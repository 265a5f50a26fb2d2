"""The next question for work in flight."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PollTimer:
    """Set while the node drains."""
