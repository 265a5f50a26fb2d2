"""An operator's resolution of an unknown outcome."""

import dataclasses

from gypsumbridge_decisions.messages import claim_outcome


@dataclasses.dataclass(frozen=True)
class MutationResolve:
    """Resolves a claim whose claimant died.

    The mutation is never sent after that.
    """

    lookup_id: str
    idempotency_key: str
    outcome: claim_outcome.ClaimOutcome
    operator: str
