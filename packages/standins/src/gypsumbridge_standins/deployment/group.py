"""The replica sets of one service."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Group:
    """One declared service and the size of its replica sets.

    There are `sets` replica sets of `searchers` searchers each, with
    `shards_per_set` shards on every set. The last set has
    `last_set_searchers` searchers instead, unless that is 0.
    """

    service: str
    sets: int
    searchers: int
    connections: int
    connect_ms: int
    shards_per_set: int = 1
    minimum_coverage: float = 1.0
    early_after_ms: int = 0
    last_set_searchers: int = 0

    def count_searchers(self, number: int) -> int:
        """Return the number of searchers of a set, counted from 0."""
        if self.last_set_searchers and number == self.sets - 1:
            return self.last_set_searchers
        return self.searchers
