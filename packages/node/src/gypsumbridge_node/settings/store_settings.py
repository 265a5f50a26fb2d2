"""The [store] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StoreSettings:
    """Address of the configuration store, `ip:port`, and timeout."""

    address: str
    timeout_ms: int = 1_000
