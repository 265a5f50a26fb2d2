"""A request to one endpoint."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EndpointRequest:
    """What an endpoint is asked to run.

    `idempotency_key` is empty for a search. `connections` bounds the
    connections that this node opens to the endpoint.
    """

    call_id: int
    endpoint: str
    address: str
    port: int
    connections: int
    shard: str
    version: str
    remaining_ms: int
    body: bytes
    idempotency_key: str = ''
