"""The [stop] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StopSettings:
    """Times of a graceful stop.

    The node accepts requests for `balancer_lag_ms` after the stop signal,
    and exits within `grace_s` seconds in any case.
    """

    grace_s: float
    balancer_lag_ms: int = 2_600
