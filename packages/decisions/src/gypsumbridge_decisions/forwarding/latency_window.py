"""Recent latencies of a route's attempts."""

import collections

WINDOW = 200
# The quantiles are worked out again after this many samples.
REFRESH = 20
MEDIAN = 0.5
HEDGE_QUANTILE = 0.88


class LatencyWindow:
    """Quantiles of the last latencies, in milliseconds.

    Until the first samples are in, both quantiles are the given estimate.
    """

    def __init__(self, estimate_ms: float) -> None:
        self.samples: collections.deque[float] = collections.deque(
            maxlen=WINDOW
        )
        self.since_refresh = 0
        self.median_ms = estimate_ms
        self.hedge_ms = estimate_ms

    def add(self, latency_ms: float) -> None:
        """Add the latency of a complete response."""
        self.samples.append(latency_ms)
        self.since_refresh += 1
        if self.since_refresh < REFRESH:
            return
        self.since_refresh = 0
        ordered = sorted(self.samples)
        self.median_ms = max(1.0, ordered[int(len(ordered) * MEDIAN)])
        self.hedge_ms = ordered[int(len(ordered) * HEDGE_QUANTILE)]
