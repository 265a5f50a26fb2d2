"""The caller of a query has hung up."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class QueryGone:
    """Ends a running query whose answer nobody reads."""

    query_id: str
