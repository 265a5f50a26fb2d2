"""A request to leave the fleet."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LeaveFleet:
    """Membership announces the node as dead and stops sending."""
