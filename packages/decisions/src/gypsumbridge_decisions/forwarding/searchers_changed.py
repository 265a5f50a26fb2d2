"""Update of the searchers that may be used."""

import dataclasses

from gypsumbridge_decisions.forwarding import searcher


@dataclasses.dataclass(frozen=True)
class SearchersChanged:
    """All current searchers, at a revision of the store."""

    revision: int
    searchers: tuple[searcher.Searcher, ...]
