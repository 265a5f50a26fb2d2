"""A host in the platform's host list."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HostEntry:
    """A node or an endpoint; `leaving` as reported by the platform."""

    name: str
    role: str
    failure_domain: str
    peer_address: str
    http_address: str
    leaving: bool
