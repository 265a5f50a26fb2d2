"""Latency estimate of one replica."""

from hdrh import histogram

LOWEST_MS = 1
HIGHEST_MS = 120_000
SIGNIFICANT_DIGITS = 2
# Samples of two windows are kept, so that a percentile follows a change of
# the endpoint's speed within seconds and still has samples at low load.
WINDOW_MS = 5_000
# Computing a percentile scans the histogram, so the result is cached for this
# long.
PERCENTILE_TTL_MS = 100
# Weight of the latest sample in the moving average.
AVERAGE_GAIN = 0.2
# A sample above this many times the average has the larger weight SLOW_GAIN,
# because a straggler yields few samples.
SLOW_FACTOR = 3.0
SLOW_GAIN = 0.6
# Without new samples the average halves in this time, so that a replica that
# was slow is eventually tried again.
AVERAGE_HALF_LIFE_MS = 2_000


class Latency:
    """Moving average and percentiles of one replica, in milliseconds."""

    def __init__(self) -> None:
        self.current = _make_histogram()
        self.previous = _make_histogram()
        self.window_started_ms = 0
        self.average_ms = 0.0
        self.sampled_ms = 0
        self.cached: dict[float, tuple[float, int]] = {}

    def record(self, latency_ms: int, now_ms: int) -> None:
        """Add one sample."""
        self._rotate(now_ms)
        self.current.record_value(max(min(latency_ms, HIGHEST_MS), LOWEST_MS))
        if self.average_ms == 0.0:
            self.average_ms = float(latency_ms)
        else:
            self._update_average(latency_ms)
        self.sampled_ms = now_ms

    def record_lower_bound(self, latency_ms: int, now_ms: int) -> None:
        """Raise the average by the run time of an unfinished request.

        The percentiles include completed requests only.
        """
        if latency_ms > self.average_ms:
            self._update_average(latency_ms)
            self.sampled_ms = now_ms

    def expected_ms(self, now_ms: int) -> float:
        """Return the average, decayed since the last sample, or 0."""
        idle_ms = max(now_ms - self.sampled_ms, 0)
        return float(self.average_ms * 0.5 ** (idle_ms / AVERAGE_HALF_LIFE_MS))

    def percentile_ms(self, percentile: float, now_ms: int) -> float:
        """Return a percentile of the recent samples, or 0 without any."""
        self._rotate(now_ms)
        cached = self.cached.get(percentile)
        if cached is not None and cached[1] > now_ms:
            return cached[0]
        source = self.current
        if source.get_total_count() < self.previous.get_total_count():
            source = self.previous
        value = 0.0
        if source.get_total_count():
            value = float(source.get_value_at_percentile(percentile))
        self.cached[percentile] = (value, now_ms + PERCENTILE_TTL_MS)
        return value

    def _update_average(self, latency_ms: int) -> None:
        gain = AVERAGE_GAIN
        if latency_ms > SLOW_FACTOR * self.average_ms:
            gain = SLOW_GAIN
        self.average_ms += gain * (latency_ms - self.average_ms)

    def _rotate(self, now_ms: int) -> None:
        if now_ms - self.window_started_ms < WINDOW_MS:
            return
        self.previous, self.current = self.current, self.previous
        self.current.reset()
        self.window_started_ms = now_ms


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
