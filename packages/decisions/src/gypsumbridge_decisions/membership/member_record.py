"""The stored state of a member."""

import dataclasses

from gypsumbridge_decisions import messages


@dataclasses.dataclass(frozen=True)
class MemberRecord:
    """The latest update on a member, received at `updated_ms`."""

    member: messages.Member
    updated_ms: int

    def is_dead(self) -> bool:
        """Return whether the member has been declared dead."""
        return self.member.state == messages.MemberState.DEAD
