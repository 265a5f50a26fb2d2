"""The [discovery] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class DiscoverySettings:
    """The store's address, timeouts, and the relaying of store updates.

    A searcher whose entry was deleted may be sent requests for `drain_ms`.
    In a fleet of up to `direct_nodes` nodes, every node watches the store;
    in a larger one a few do and relay the updates to the others. `regions`
    is a JSON object with the region of each failure domain.
    """

    store_address: str
    timeout_ms: int = 1_500
    drain_ms: int = 3_000
    direct_nodes: int = 10
    regions: str = ''
