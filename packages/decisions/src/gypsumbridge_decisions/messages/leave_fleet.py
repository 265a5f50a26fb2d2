"""Asks membership to sign the node off."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LeaveFleet:
    """The node tells some members that it is gone, and falls silent."""
