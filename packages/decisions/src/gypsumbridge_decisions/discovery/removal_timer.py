"""Timer for dropping searchers whose entries were deleted."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RemovalTimer:
    """Set when an entry is deleted; fires at the end of the hold time."""
