"""State of one searcher stand-in."""

import collections
import random
from typing import Any

from gypsumbridge_standins.searchers import searcher_spec


class SearcherState:
    """Slots, connections, faults and counts of what was run.

    `executed` counts runs by idempotency key. `peak_connections` and
    `peak_running` are the maxima so far. `refused_connections` counts
    connections beyond the limit.
    """

    def __init__(self, spec: searcher_spec.SearcherSpec, seed: int) -> None:
        self.spec = spec
        self.random = random.Random(f'{seed} {spec.name}')
        self.shards = {v: set(s) for v, s in spec.shards.items()}
        self.waiting: collections.deque[Any] = collections.deque()
        self.running = 0
        self.connections = 0
        self.peak_connections = 0
        self.peak_running = 0
        self.refused_connections = 0
        self.searches = 0
        self.cancelled = 0
        self.shed = 0
        self.received = 0
        self.executed: dict[str, int] = {}
        self.ranks: dict[str, int] = {}
        self.slowdown = 1.0
        self.draining = False
        self.shedding = False
        self.silent = False
        self.lose_replies = 0
        self.wrong_shard = False

    def counts(self) -> dict[str, Any]:
        """Return the counts that the control port reports."""
        names = (
            'running',
            'connections',
            'peak_connections',
            'peak_running',
            'refused_connections',
            'searches',
            'cancelled',
            'shed',
            'received',
            'executed',
        )
        counts = {name: getattr(self, name) for name in names}
        counts['waiting'] = len(self.waiting)
        return counts
