"""The [discovery] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class DiscoverySettings:
    """The store, and how long a leaving searcher may be used.

    A searcher whose entry disappeared may get requests for `drain_ms`. In a
    fleet of up to `direct_nodes` every node watches the store itself; in a
    larger one a few do and tell the others.
    """

    store_address: str
    timeout_ms: int = 1_500
    drain_ms: int = 3_000
    direct_nodes: int = 10
