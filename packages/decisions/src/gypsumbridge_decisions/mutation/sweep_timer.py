"""The timer for the removal of expired claims."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SweepTimer:
    """Triggers the sweep of one bucket; set again by each sweep."""
