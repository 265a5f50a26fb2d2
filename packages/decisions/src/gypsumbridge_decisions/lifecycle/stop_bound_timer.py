"""The time limit of a graceful stop."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StopBoundTimer:
    """Exits the process even if work is in flight."""
