"""A query of the load."""

import dataclasses

from gypsumbridge_decisions import messages


@dataclasses.dataclass(frozen=True)
class IssuedQuery:
    """A query, its due time, and the window in which it counts.

    `flooding` is true for queries that a flood adds to the normal load.
    """

    query: messages.Query
    due_ms: int
    window: str
    flooding: bool
