"""A request for an indirect probe."""

import dataclasses

from gypsumbridge_decisions.messages import member


@dataclasses.dataclass(frozen=True)
class ProbeRequest:
    """The receiver probes `target` on behalf of the sender."""

    sender: member.Member
    target: member.Member
    sequence: int
    updates: tuple[member.Member, ...] = ()
