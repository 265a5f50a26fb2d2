"""The acknowledgement of a probe."""

import dataclasses

from gypsumbridge_decisions.messages import member


@dataclasses.dataclass(frozen=True)
class ProbeAck:
    """Reports that `subject` answered the probe `sequence` of `origin`.

    The sender is the subject itself, or the member that probed it on
    behalf of the origin.
    """

    sender: member.Member
    subject: member.Member
    origin: str
    sequence: int
    updates: tuple[member.Member, ...] = ()
