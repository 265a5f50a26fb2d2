"""The [listen] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ListenSettings:
    """Addresses (`ip:port`) for callers, the load balancer and metrics.

    Other nodes poll `peers` for store updates, or `advertised_peers` if it
    is set. Without `peers` this node watches the store itself. They delegate
    gathers to `gathers`, or to `advertised_gathers` if it is set; without
    `gathers`, this node is not a coordinator.
    """

    callers: str
    ready: str
    metrics: str
    peers: str = ''
    advertised_peers: str = ''
    gathers: str = ''
    advertised_gathers: str = ''
