"""A command of the claim protocol: come back after a delay."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RetryLater:
    """Calls `resume` after a delay that grows with each time."""
