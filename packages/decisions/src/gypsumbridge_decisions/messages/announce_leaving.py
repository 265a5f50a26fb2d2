"""Asks membership to announce that this node is leaving."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AnnounceLeaving:
    """Answered with `LeavingAnnounced` once the news has had its time."""
