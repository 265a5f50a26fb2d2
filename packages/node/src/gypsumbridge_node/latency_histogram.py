"""A latency histogram with fixed buckets."""

import bisect

# Bucket bounds about double from one to the next; callers' latency targets
# lie between 50 and 1,300 ms. The client library of the metrics system is not
# used, as it would add half to the memory of a gateway, which is billed.
BOUNDS_MS = (1, 2, 5, 10, 20, 35, 50, 75, 100, 150, 200, 400, 800, 1600, 5000)


class LatencyHistogram:
    """Number of observations by bucket, and the sum of their values."""

    def __init__(self) -> None:
        self.buckets = [0] * (len(BOUNDS_MS) + 1)
        self.sum_ms = 0.0

    def observe(self, value_ms: float) -> None:
        """Add one latency."""
        self.buckets[bisect.bisect_left(BOUNDS_MS, value_ms)] += 1
        self.sum_ms += value_ms

    def cumulative(self) -> list[tuple[str, int]]:
        """Return each upper bound with the number of observations up to it."""
        counts = []
        total = 0
        bounds = [str(bound) for bound in BOUNDS_MS] + ['+Inf']
        for bound, count in zip(bounds, self.buckets, strict=True):
            total += count
            counts.append((bound, total))
        return counts
