"""The addresses of a node of a cluster."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class NodeAddress:
    """A node's id, failure domain and the `ip:port` of each listener."""

    node_id: str
    failure_domain: str
    peer: str
    http: str
