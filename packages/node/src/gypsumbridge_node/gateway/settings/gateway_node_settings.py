"""The [node] section of a gateway."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class GatewayNodeSettings:
    """The node's name and the failure domain of its host."""

    node_id: str
    failure_domain: str
