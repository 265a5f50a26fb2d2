"""A question about an idempotency key."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class MutationLookup:
    """Asks what is recorded of a key; `lookup_id` names the request."""

    lookup_id: str
    idempotency_key: str
