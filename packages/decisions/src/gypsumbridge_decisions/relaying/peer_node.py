"""A node that other nodes may poll for store updates."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PeerNode:
    """The entry that a node has written about itself into the store.

    `address` is the `ip:port` at which it answers polls of other nodes,
    empty if it answers none. Nodes with a higher `capacity` are polled
    first. At `gather_address`, if any, it gathers the parts of requests
    that other nodes delegate.
    """

    node_id: str
    address: str
    failure_domain: str
    capacity: float
    gather_address: str = ''
