"""A request to one endpoint."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EndpointRequest:
    """A search or a mutation for an endpoint to run.

    `idempotency_key` is empty for a search. `connections` limits the
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
