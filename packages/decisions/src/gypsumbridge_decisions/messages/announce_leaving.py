"""A request to announce that this node is leaving."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AnnounceLeaving:
    """Sent to membership, which replies with `LeavingAnnounced`.

    The reply follows once the update has had time to spread.
    """
