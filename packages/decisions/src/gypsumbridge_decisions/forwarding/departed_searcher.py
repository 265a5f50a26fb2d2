"""A searcher whose entry is missing."""

import dataclasses

from gypsumbridge_decisions.forwarding import searcher


@dataclasses.dataclass(frozen=True)
class DepartedSearcher:
    """The last entry, and when it was found to be missing."""

    searcher: searcher.Searcher
    departed_ms: int
