"""The platform's host list."""

import dataclasses

from gypsumbridge_decisions.messages import host_entry


@dataclasses.dataclass(frozen=True)
class HostList:
    """All hosts as the platform sees them, with its usual lag."""

    hosts: tuple[host_entry.HostEntry, ...]
