"""A lookup of an idempotency key."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class MutationLookup:
    """Answered with a `ClaimReport` with the same `lookup_id`."""

    lookup_id: str
    idempotency_key: str
