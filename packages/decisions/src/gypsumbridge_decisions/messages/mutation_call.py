"""A claimed mutation, sent to an owner."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class MutationCall:
    """A request by the claimant to run a mutation once on one replica."""

    sender: str
    mutation_id: str
    idempotency_key: str
    service: str
    version: str
    shard: str
    replica_set: str
    rank: str
    caller: str
    remaining_ms: int
    body: bytes
