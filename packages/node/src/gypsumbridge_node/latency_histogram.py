"""Counts of latencies in fixed buckets."""

import bisect

# Upper bounds in milliseconds, doubling; callers' objectives lie between 50
# and 1,300 ms. A client library of the metrics system would add half to the
# memory of a gateway, which is billed.
BOUNDS_MS = (1, 2, 5, 10, 20, 35, 50, 75, 100, 150, 200, 400, 800, 1600, 5000)


class LatencyHistogram:
    """Observations by bucket, their number and their sum."""

    def __init__(self) -> None:
        self.buckets = [0] * (len(BOUNDS_MS) + 1)
        self.sum_ms = 0.0

    def observe(self, value_ms: float) -> None:
        """Count one latency in milliseconds."""
        self.buckets[bisect.bisect_left(BOUNDS_MS, value_ms)] += 1
        self.sum_ms += value_ms

    def cumulative(self) -> list[tuple[str, int]]:
        """Return each upper bound with the observations up to it."""
        found = []
        total = 0
        bounds = [str(bound) for bound in BOUNDS_MS] + ['+Inf']
        for bound, count in zip(bounds, self.buckets, strict=True):
            total += count
            found.append((bound, total))
        return found
