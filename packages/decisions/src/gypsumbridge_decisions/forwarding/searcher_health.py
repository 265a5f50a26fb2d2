"""What this node has measured of one searcher."""

import math

# Slowness and failures seen this long ago have lost two thirds of their
# weight, so that a searcher that recovered gets requests again. Where samples
# are rare, a few of them have to fit into the memory.
MEMORY_MS = 3_000
MEMORY_SAMPLES = 2
MAX_INTERVAL_MS = 5_000
# The least weight of a new sample in the moving averages. The longer ago the
# one before it, the more it weighs.
SAMPLE_WEIGHT = 0.25
FRESH_MS = 2_000
FAILURES_TO_EJECT = 2
FIRST_EJECTION_MS = 500
MAX_EJECTION_MS = 4_000


class SearcherHealth:
    """Moving averages and an ejection time.

    `slowness` is the ratio of this searcher's latency to the usual latency
    of the same route; `failure_rate` lies between 0 and 1. `replaced` is
    set when another searcher has answered at the address. `interval_ms` is
    the usual time between samples.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.overdue = 0
        self.slowness = 1.0
        self.failure_rate = 0.0
        self.measured_ms = 0
        self.sampled_ms = 0
        self.interval_ms = 0.0
        self.failures_in_a_row = 0
        self.ejected_until_ms = 0
        self.replaced = False

    def fade(self, now_ms: int) -> None:
        """Move the averages towards normal by the time that has passed."""
        memory_ms = MEMORY_MS + MEMORY_SAMPLES * self.interval_ms
        keep = math.exp(-max(0, now_ms - self.measured_ms) / memory_ms)
        self.slowness = 1.0 + (self.slowness - 1.0) * keep
        self.failure_rate *= keep
        self.measured_ms = now_ms

    def sample(self, now_ms: int) -> float:
        """Count a sample and return its weight in the averages."""
        self.fade(now_ms)
        gap_ms = min(now_ms - self.sampled_ms, MAX_INTERVAL_MS)
        self.sampled_ms = now_ms
        self.interval_ms += SAMPLE_WEIGHT * (gap_ms - self.interval_ms)
        return max(SAMPLE_WEIGHT, 1.0 - math.exp(-gap_ms / FRESH_MS))

    def record_answer(self, slowness: float, now_ms: int) -> None:
        """Count a response that took `slowness` times the usual latency."""
        weight = self.sample(now_ms)
        self.slowness += weight * (slowness - self.slowness)
        self.failure_rate -= weight * self.failure_rate
        self.failures_in_a_row = 0

    def record_failure(self, now_ms: int, unreachable: bool) -> None:
        """Count a failure; several in a row eject the searcher.

        One that takes no connection is ejected by its first failure.
        """
        weight = self.sample(now_ms)
        self.failure_rate += weight * (1.0 - self.failure_rate)
        self.failures_in_a_row += 1
        extra = self.failures_in_a_row - FAILURES_TO_EJECT
        if unreachable or extra >= 0:
            ejection_ms = min(
                FIRST_EJECTION_MS << max(0, min(extra, 8)), MAX_EJECTION_MS
            )
            self.ejected_until_ms = now_ms + ejection_ms
