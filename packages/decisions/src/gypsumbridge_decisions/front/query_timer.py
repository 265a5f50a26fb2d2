"""Timer of a running query."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class QueryTimer:
    """Fires at a query's deadline, or with `early` at its early time."""

    query_id: str
    early: bool
