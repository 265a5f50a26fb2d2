"""Services whose parts another node gathers."""

import dataclasses

from gypsumbridge_decisions.relaying import peer_node


@dataclasses.dataclass(frozen=True)
class ServiceGroup:
    """The services, and the coordinator in their failure domain."""

    coordinator: peer_node.PeerNode
    services: tuple[str, ...]
