"""A question that waits for acceptance."""

import dataclasses

from gypsumbridge_decisions import messages


@dataclasses.dataclass(frozen=True)
class WaitingAsk:
    """Answered at `until_ms` at the latest."""

    request: messages.AwaitAccepted
    until_ms: int
