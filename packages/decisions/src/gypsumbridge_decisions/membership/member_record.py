"""What is remembered of a member."""

import dataclasses

from gypsumbridge_decisions import messages


@dataclasses.dataclass(frozen=True)
class MemberRecord:
    """The latest news of a member and when it was learned."""

    member: messages.Member
    learned_ms: int

    def is_dead(self) -> bool:
        """Say whether the member is believed dead."""
        return self.member.state == messages.MemberState.DEAD
