"""A timer of a running query."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class QueryTimer:
    """A query's deadline has come, or its early time where `early`."""

    query_id: str
    early: bool
