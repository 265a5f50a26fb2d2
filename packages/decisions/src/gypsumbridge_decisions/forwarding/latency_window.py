"""Recent latencies of a route's attempts."""

import collections

WINDOW = 400
# The quantiles are worked out again after this many samples.
REFRESH = 20
MEDIAN = 0.5
USUAL_QUANTILE = 0.75
HIGH_QUANTILE = 0.9


class LatencyWindow:
    """Quantiles of the last latencies, in milliseconds.

    Three in four attempts are answered within `usual_ms`, nine in ten
    within `high_ms`. Until the first samples are in, all of them are the
    given estimate.
    """

    def __init__(self, estimate_ms: float) -> None:
        self.samples: collections.deque[float] = collections.deque(
            maxlen=WINDOW
        )
        self.since_refresh = 0
        self.median_ms = estimate_ms
        self.usual_ms = estimate_ms
        self.high_ms = estimate_ms

    def add(self, latency_ms: float) -> None:
        """Add the latency of a complete response."""
        self.samples.append(latency_ms)
        self.since_refresh += 1
        if self.since_refresh < REFRESH:
            return
        self.since_refresh = 0
        ordered = sorted(self.samples)
        self.median_ms = max(1.0, ordered[int(len(ordered) * MEDIAN)])
        self.usual_ms = ordered[int(len(ordered) * USUAL_QUANTILE)]
        self.high_ms = ordered[int(len(ordered) * HIGH_QUANTILE)]
