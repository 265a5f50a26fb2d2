"""A claim as stored, with its key and revision."""

import dataclasses

from gypsumbridge_decisions.messages import claim as claims


@dataclasses.dataclass(frozen=True)
class ClaimItem:
    """An idempotency key, its claim and the revision of its last write."""

    key: str
    claim: claims.Claim
    revision: int
