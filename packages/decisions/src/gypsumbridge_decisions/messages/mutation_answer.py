"""The outcome of a mutation, for its caller."""

import dataclasses

from gypsumbridge_decisions.messages import claim as claims


@dataclasses.dataclass(frozen=True)
class MutationAnswer:
    """`recorded` says that an earlier request with the key made it."""

    mutation_id: str
    request_id: str
    idempotency_key: str
    recorded: bool
    claim: claims.Claim
