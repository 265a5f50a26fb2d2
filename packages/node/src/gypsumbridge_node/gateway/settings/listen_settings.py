"""The [listen] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ListenSettings:
    """Addresses (`ip:port`) for callers, the load balancer and metrics."""

    callers: str
    ready: str
    metrics: str
