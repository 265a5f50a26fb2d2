"""Asks an owner for a sign of life."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class OwnerCheck:
    """Answered at once with a `PartBatch` that has no parts."""

    sender: str
    query_id: str
    attempt: int
