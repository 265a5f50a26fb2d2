"""A node that others may ask for the store's changes."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PeerNode:
    """What a node has written of itself into the store.

    `address` is the `ip:port` at which it answers other nodes, empty if it
    does not. Nodes with a higher `capacity` are asked first; only its order
    counts.
    """

    node_id: str
    address: str
    failure_domain: str
    capacity: float
