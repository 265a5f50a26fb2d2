"""The [node] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Identity of this node, and its addresses as `ip:port`."""

    node_id: str
    failure_domain: str
    failure_domains: tuple[str, ...]
    peer_address: str
    http_address: str
