"""A store call on claims."""

import dataclasses

from gypsumbridge_decisions.messages import claim as claims
from gypsumbridge_decisions.messages import store_operation


@dataclasses.dataclass(frozen=True)
class ClaimCall:
    """A store request whose value is a claim.

    `key` is the idempotency key, or the bucket number for a list.
    The reply is a `ClaimReply` with the same token.
    """

    token: str
    operation: store_operation.StoreOperation
    key: str
    claim: claims.Claim | None = None
    expected_revision: int = 0
