"""A new view of the fleet."""

import dataclasses

from gypsumbridge_decisions.messages import member


@dataclasses.dataclass(frozen=True)
class MembersChanged:
    """All members that are not dead, sorted by node id."""

    members: tuple[member.Member, ...]
