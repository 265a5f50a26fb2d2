"""What a child in the pull tree last reported."""

import dataclasses

from gypsumbridge_decisions import messages


@dataclasses.dataclass(frozen=True)
class ChildReport:
    """The report holds since `since_ms` and was heard at `heard_ms`."""

    report: messages.SubtreeReport
    since_ms: int
    heard_ms: int
