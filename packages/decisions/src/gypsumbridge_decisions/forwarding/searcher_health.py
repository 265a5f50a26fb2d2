"""What this node has measured of one searcher."""

import math

# Slowness and failures seen this long ago have lost two thirds of their
# weight, so that a searcher that recovered gets requests again.
MEMORY_MS = 3_000
# The weight of a new sample in the moving averages.
SAMPLE_WEIGHT = 0.25
FAILURES_TO_EJECT = 2
FIRST_EJECTION_MS = 500
MAX_EJECTION_MS = 4_000


class SearcherHealth:
    """Moving averages and an ejection time.

    `slowness` is the ratio of this searcher's latency to the usual latency
    of the same route; `failure_rate` lies between 0 and 1. `replaced` is
    set when another searcher has answered at the address.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.overdue = 0
        self.slowness = 1.0
        self.failure_rate = 0.0
        self.measured_ms = 0
        self.failures_in_a_row = 0
        self.ejected_until_ms = 0
        self.replaced = False

    def fade(self, now_ms: int) -> None:
        """Move the averages towards normal by the time that has passed."""
        keep = math.exp(-max(0, now_ms - self.measured_ms) / MEMORY_MS)
        self.slowness = 1.0 + (self.slowness - 1.0) * keep
        self.failure_rate *= keep
        self.measured_ms = now_ms

    def record_answer(self, slowness: float, now_ms: int) -> None:
        """Count a response that took `slowness` times the usual latency."""
        self.fade(now_ms)
        self.slowness += SAMPLE_WEIGHT * (slowness - self.slowness)
        self.failure_rate -= SAMPLE_WEIGHT * self.failure_rate
        self.failures_in_a_row = 0

    def record_failure(self, now_ms: int, unreachable: bool) -> None:
        """Count a failure; several in a row eject the searcher.

        One that takes no connection is ejected by its first failure.
        """
        self.fade(now_ms)
        self.failure_rate += SAMPLE_WEIGHT * (1.0 - self.failure_rate)
        self.failures_in_a_row += 1
        extra = self.failures_in_a_row - FAILURES_TO_EJECT
        if unreachable or extra >= 0:
            ejection_ms = min(
                FIRST_EJECTION_MS << max(0, min(extra, 8)), MAX_EJECTION_MS
            )
            self.ejected_until_ms = now_ms + ejection_ms
