"""What is recorded of an idempotency key."""

import dataclasses

from gypsumbridge_decisions.messages import claim as claims


@dataclasses.dataclass(frozen=True)
class ClaimReport:
    """Answers a lookup or a resolve; None means that nothing is recorded."""

    lookup_id: str
    idempotency_key: str
    claim: claims.Claim | None
