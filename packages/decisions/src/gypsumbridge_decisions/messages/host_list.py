"""The platform's host list."""

import dataclasses

from gypsumbridge_decisions.messages import host_entry


@dataclasses.dataclass(frozen=True)
class HostList:
    """All hosts known to the platform; the list lags behind reality."""

    hosts: tuple[host_entry.HostEntry, ...]
