"""The time for the last bytes."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class FlushTimer:
    """Set once nothing is in flight."""
