"""A group of equal replica sets."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Group:
    """One declared service and the shape of its replica sets.

    `sets` replica sets of `searchers` searchers each, with
    `shards_per_set` shards on every set.
    """

    service: str
    sets: int
    searchers: int
    connections: int
    connect_ms: int
    shards_per_set: int = 1
    minimum_coverage: float = 1.0
    early_after_ms: int = 0
