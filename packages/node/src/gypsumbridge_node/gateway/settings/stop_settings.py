"""The [stop] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StopSettings:
    """Times of a graceful stop.

    The node takes requests for `balancer_lag_ms` after it was told to
    stop, and ends within `grace_s` seconds in any case.
    """

    grace_s: float
    balancer_lag_ms: int = 2_600
