"""Notice that routes and searchers are available."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class DiscoveryReady:
    """Sent once, after the store has been listed and routes were found."""
