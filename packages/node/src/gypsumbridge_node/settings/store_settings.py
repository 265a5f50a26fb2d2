"""The [store] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StoreSettings:
    """Where the configuration store is."""

    address: str
    timeout_ms: int = 1_000
