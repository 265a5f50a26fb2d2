"""The recorded claim of an idempotency key."""

import dataclasses

from gypsumbridge_decisions.messages import claim as claims


@dataclasses.dataclass(frozen=True)
class ClaimReport:
    """The reply to a lookup or a resolve.

    `claim` is None if no claim is recorded.
    """

    lookup_id: str
    idempotency_key: str
    claim: claims.Claim | None
