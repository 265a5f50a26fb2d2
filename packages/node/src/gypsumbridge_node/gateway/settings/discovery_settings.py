"""The [discovery] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class DiscoverySettings:
    """The store, and how long a leaving searcher may be used.

    A searcher whose entry disappeared may get requests for `drain_ms`.
    """

    store_address: str
    timeout_ms: int = 1_500
    drain_ms: int = 3_000
