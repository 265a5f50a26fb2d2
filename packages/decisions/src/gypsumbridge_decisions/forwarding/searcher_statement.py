"""What a searcher has stated about itself in an answer."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SearcherStatement:
    """The searcher leaves, or wants no requests for `closed_for_ms`."""

    searcher_id: str
    leaving: bool
    closed_for_ms: int
