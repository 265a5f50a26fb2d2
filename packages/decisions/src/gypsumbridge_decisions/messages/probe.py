"""Asks a member for a sign of life."""

import dataclasses

from gypsumbridge_decisions.messages import member


@dataclasses.dataclass(frozen=True)
class Probe:
    """Answered with a `ProbeAck` to `sender`.

    `origin` is the node that wants to know; it differs from the sender's
    id when the probe follows a `ProbeRequest`. `updates` is news about
    members, bounded in number.
    """

    sender: member.Member
    origin: str
    sequence: int
    updates: tuple[member.Member, ...] = ()
