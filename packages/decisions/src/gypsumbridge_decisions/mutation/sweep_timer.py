"""Event that starts the removal of old claims."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SweepTimer:
    """Looks at one bucket of claims and comes again."""
