"""A mutation from a caller."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Mutation:
    """A mutation as received by this node.

    `mutation_id` is unique to this node and run. `deadline_ms` counts
    from arrival, `key_expires_at_ms` is Unix time. With `first_attempt`
    the caller states that it sent no earlier request with this key.
    """

    mutation_id: str
    request_id: str
    service: str
    shard: str
    rank: str
    caller: str
    deadline_ms: int
    idempotency_key: str
    key_expires_at_ms: int
    first_attempt: bool
    body: bytes
