"""The [node] section of a gateway."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class GatewayNodeSettings:
    """The node's id and the failure domain of its host.

    Nodes on hosts with a higher `capacity`, in any unit, are preferred as
    relays of store updates.
    """

    node_id: str
    failure_domain: str
    capacity: float = 1.0
