"""A query that the load has issued."""

import dataclasses

from gypsumbridge_decisions import messages


@dataclasses.dataclass(frozen=True)
class IssuedQuery:
    """A query, when it was due, and the window that it counts in."""

    query: messages.Query
    due_ms: int
    window: str
    flooding: bool
