"""The [listen] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ListenSettings:
    """Addresses (`ip:port`) for callers, the load balancer and metrics.

    Other nodes ask at `peers` for the store's changes; without it this node
    watches the store itself. They use `advertised_peers` where that is set.
    """

    callers: str
    ready: str
    metrics: str
    peers: str = ''
    advertised_peers: str = ''
