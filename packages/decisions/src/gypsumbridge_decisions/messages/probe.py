"""A liveness probe of a member."""

import dataclasses

from gypsumbridge_decisions.messages import member


@dataclasses.dataclass(frozen=True)
class Probe:
    """Answered with a `ProbeAck` to the sender.

    `origin` is the id of the node that started the probe; it differs from
    the sender's id if the probe is an indirect one, sent for a
    `ProbeRequest`. `updates` are member updates, limited in number.
    """

    sender: member.Member
    origin: str
    sequence: int
    updates: tuple[member.Member, ...] = ()
