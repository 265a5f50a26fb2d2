"""A pull that awaits its reply."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PendingPull:
    """Sent at `sent_ms`; the reply carries the same token."""

    token: int
    sent_ms: int
