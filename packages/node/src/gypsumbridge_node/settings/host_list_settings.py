"""The [host_list] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HostListSettings:
    """Where the platform's host list is and how often it is read."""

    address: str
    interval_ms: int = 1_000
