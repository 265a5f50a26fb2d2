"""A pull that waits for its reply."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class OpenPull:
    """Sent at `sent_ms` to one node."""

    token: int
    sent_ms: int
