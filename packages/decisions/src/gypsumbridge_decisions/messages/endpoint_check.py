"""A health check of an endpoint."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EndpointCheck:
    """Answered with an `EndpointHealth`."""

    endpoint: str
    address: str
    port: int
    connections: int
