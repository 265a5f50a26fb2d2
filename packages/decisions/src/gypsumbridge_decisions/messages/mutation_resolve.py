"""An operator's word on an unknown outcome."""

import dataclasses

from gypsumbridge_decisions.messages import claim_outcome


@dataclasses.dataclass(frozen=True)
class MutationResolve:
    """Settles a claim whose holder died; it is never sent afterwards."""

    lookup_id: str
    idempotency_key: str
    outcome: claim_outcome.ClaimOutcome
    operator: str
