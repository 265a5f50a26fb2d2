"""The [host_list] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HostListSettings:
    """Address of the platform's host list, `ip:port`, and polling interval."""

    address: str
    interval_ms: int = 1_000
