"""The [node] section of a gateway."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class GatewayNodeSettings:
    """The node's id and the failure domain of its host.

    Nodes on hosts with a higher `capacity`, in any unit, are preferred as
    relays of store updates and as coordinators of gathers. It should be
    proportional to the bandwidth of the host's network link.
    """

    node_id: str
    failure_domain: str
    capacity: float = 1.0
