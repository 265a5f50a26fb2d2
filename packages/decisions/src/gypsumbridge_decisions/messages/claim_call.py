"""One store call about claims."""

import dataclasses

from gypsumbridge_decisions.messages import claim as claims
from gypsumbridge_decisions.messages import store_operation


@dataclasses.dataclass(frozen=True)
class ClaimCall:
    """A store request whose value is a claim.

    `key` is the idempotency key, or for a list the number of the bucket.
    The reply is a `ClaimReply` with the same token.
    """

    token: str
    operation: store_operation.StoreOperation
    key: str
    claim: claims.Claim | None = None
    expected_revision: int = 0
