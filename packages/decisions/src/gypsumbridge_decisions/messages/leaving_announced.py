"""The fleet has had time to learn that this node is leaving."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LeavingAnnounced:
    """From here on, work that still arrives is refused as not run."""
