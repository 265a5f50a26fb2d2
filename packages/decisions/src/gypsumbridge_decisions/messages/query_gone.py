"""The caller of a query has disconnected."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class QueryGone:
    """Cancels the running query, whose answer cannot be delivered."""

    query_id: str
