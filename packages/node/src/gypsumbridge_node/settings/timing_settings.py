"""The [timing] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class TimingSettings:
    """Times in milliseconds that depend on the deployment.

    An owner that sends no message for `owner_silence_ms` or longer is
    checked. `balancer_lag_ms` is how long the balancer may still send
    requests after `/readyz` fails. `stop_bound_ms` limits the duration of a
    graceful stop.
    """

    owner_silence_ms: int = 100
    balancer_lag_ms: int = 2_000
    stop_bound_ms: int = 90_000
