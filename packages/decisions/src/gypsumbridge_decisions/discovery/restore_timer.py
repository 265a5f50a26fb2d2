"""Timer for the end of the time for which missing entries are kept."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RestoreTimer:
    """Set after the first list of `era`; ends the hold of missing entries."""

    era: int
