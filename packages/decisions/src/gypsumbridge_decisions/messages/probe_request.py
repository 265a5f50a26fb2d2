"""Asks a member to probe another one."""

import dataclasses

from gypsumbridge_decisions.messages import member


@dataclasses.dataclass(frozen=True)
class ProbeRequest:
    """The receiver probes `target` with the sender as origin."""

    sender: member.Member
    target: member.Member
    sequence: int
    updates: tuple[member.Member, ...] = ()
