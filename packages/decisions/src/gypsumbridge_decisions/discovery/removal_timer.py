"""Time to drop searchers whose entries were removed."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RemovalTimer:
    """Set when an entry disappears."""
