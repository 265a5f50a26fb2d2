"""A pending request to wait for acceptance."""

import dataclasses

from gypsumbridge_decisions import messages


@dataclasses.dataclass(frozen=True)
class AcceptanceWait:
    """Answered at `expires_at_ms` at the latest."""

    request: messages.AwaitAccepted
    expires_at_ms: int
