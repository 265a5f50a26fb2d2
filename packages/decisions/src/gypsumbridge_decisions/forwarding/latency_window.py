"""Recent latencies of a route's attempts."""

import collections

WINDOW_SAMPLES = 400
# The quantiles are recomputed after this many samples.
REFRESH_SAMPLES = 20
MEDIAN_QUANTILE = 0.5
P75_QUANTILE = 0.75
P90_QUANTILE = 0.9


class LatencyWindow:
    """Quantiles of recent latencies, in milliseconds.

    Three in four attempts are answered within `p75_ms`, nine in ten within
    `p90_ms`. All quantiles have the given estimate until the first
    `REFRESH_SAMPLES` samples.
    """

    def __init__(self, estimate_ms: float) -> None:
        self.samples: collections.deque[float] = collections.deque(
            maxlen=WINDOW_SAMPLES
        )
        self.samples_since_refresh = 0
        self.median_ms = estimate_ms
        self.p75_ms = estimate_ms
        self.p90_ms = estimate_ms

    def is_measured(self) -> bool:
        """Return whether the quantiles are no longer the estimate."""
        return len(self.samples) >= REFRESH_SAMPLES

    def add(self, latency_ms: float) -> None:
        """Add the latency of an attempt that was answered or abandoned."""
        self.samples.append(latency_ms)
        self.samples_since_refresh += 1
        if self.samples_since_refresh < REFRESH_SAMPLES:
            return
        self.samples_since_refresh = 0
        ordered = sorted(self.samples)
        self.median_ms = max(1.0, ordered[int(len(ordered) * MEDIAN_QUANTILE)])
        self.p75_ms = ordered[int(len(ordered) * P75_QUANTILE)]
        self.p90_ms = ordered[int(len(ordered) * P90_QUANTILE)]
