"""The answer to a mutation."""

import dataclasses

from gypsumbridge_decisions.messages import claim as claims


@dataclasses.dataclass(frozen=True)
class MutationAnswer:
    """The outcome of a mutation, in its claim.

    `recorded` is True if an earlier request with the key produced it.
    """

    mutation_id: str
    request_id: str
    idempotency_key: str
    recorded: bool
    claim: claims.Claim
