"""The [timing] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class TimingSettings:
    """Times in milliseconds that depend on the deployment.

    `balancer_lag_ms` is how long the balancer may go on sending after
    `/readyz` fails; `stop_bound_ms` bounds a graceful stop as a whole.
    """

    owner_silence_ms: int = 100
    balancer_lag_ms: int = 2_000
    stop_bound_ms: int = 90_000
