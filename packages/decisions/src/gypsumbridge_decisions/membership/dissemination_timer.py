"""The end of the time that an update needs to reach the fleet."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class DisseminationTimer:
    """Set when this node announces that it is leaving."""
