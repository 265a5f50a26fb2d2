"""Asks an endpoint for its state."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EndpointCheck:
    """A health check, answered with `EndpointHealth`."""

    endpoint: str
    address: str
    port: int
    connections: int
