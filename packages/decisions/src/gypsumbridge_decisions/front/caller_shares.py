"""Admission keys that favour callers within their fair share."""

import xxhash

# Long enough to smooth a burst of a few queries, and short enough that a
# caller that stops flooding is admitted like the others within seconds.
WINDOW_MS = 1_000
# Below the level that admits everything.
MAX_KEY = 63.0


class CallerShares:
    """Counts the queries of each rank by caller, over two windows."""

    def __init__(self) -> None:
        self.window_started_ms = 0
        self.current: dict[str, dict[str, int]] = {}
        self.previous: dict[str, dict[str, int]] = {}

    def admission_key(
        self, query_id: str, rank: str, caller: str, now_ms: int
    ) -> float:
        """Count a query and return its admission key, at least 0.

        The key is a uniform hash of the query id times the caller's rate
        over the mean rate of the rank's callers. At a level p this admits
        at most p times the mean rate from each caller.
        """
        self._rotate(now_ms)
        counts = self.current.setdefault(rank, {})
        counts[caller] = counts.get(caller, 0) + 1
        before = self.previous.get(rank, {})
        own_count = counts[caller] + before.get(caller, 0)
        callers = counts.keys() | before.keys()
        total = sum(counts.values()) + sum(before.values())
        uniform = xxhash.xxh3_64_intdigest(query_id.encode()) / 2.0**64
        return min(uniform * own_count * len(callers) / total, MAX_KEY)

    def _rotate(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self.window_started_ms
        if elapsed_ms < WINDOW_MS:
            return
        self.previous = self.current if elapsed_ms < 2 * WINDOW_MS else {}
        self.current = {}
        self.window_started_ms = now_ms
