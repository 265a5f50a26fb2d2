"""The platform's host list."""

import dataclasses

from gypsumbridge_decisions.messages import host_entry


@dataclasses.dataclass(frozen=True)
class HostList:
    """All hosts in the platform's list, which lags behind their state."""

    hosts: tuple[host_entry.HostEntry, ...]
