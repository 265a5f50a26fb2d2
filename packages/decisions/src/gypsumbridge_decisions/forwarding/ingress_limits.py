"""Limits on the size and duration of callers' requests."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class IngressLimits:
    """Sizes in bytes and timeouts in milliseconds, for each connection."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_ms: int = 5_000
    idle_timeout_ms: int = 60_000
