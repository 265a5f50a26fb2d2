"""The configuration of a searcher stand-in."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SearcherSpec:
    """Shards, limits and speed of one searcher.

    `shards` maps each index version to the shards that it holds.
    `service_ms` is the mean time of a search. Up to `queue` requests wait
    for a slot; further ones are shed. The first `cold_searches` searches
    take three times as long.
    """

    name: str
    port: int
    shards: dict[str, list[str]]
    slots: int = 2
    connections: int = 25
    connect_ms: int = 6
    service_ms: float = 20.0
    queue: int = 8
    cold_searches: int = 0
