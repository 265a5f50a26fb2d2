"""Where a node of a cluster listens."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class NodeAddress:
    """A node's id, failure domain and `ip:port` addresses."""

    node_id: str
    failure_domain: str
    peer: str
    http: str
