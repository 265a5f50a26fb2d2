"""Whether routes and searchers are known."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class DiscoveryReady:
    """Sent once, when the node has listed the store and has routes."""
