"""Counters, gauges and latencies; the first two are sent to statsd."""

import statsd

from gypsumbridge_node import latency_histogram

FLUSH_INTERVAL_S = 1.0


class Metrics:
    """Accumulates counters and sends them once per second.

    One datagram per second costs the same at any load, whereas one per
    event does not.
    """

    def __init__(self, client: statsd.StatsClient | None) -> None:
        self.client = client
        self.counts: dict[str, int] = {}
        self.gauges: dict[str, float] = {}
        self.totals: dict[str, int] = {}
        self.histograms: dict[str, latency_histogram.LatencyHistogram] = {}

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] = self.counts.get(name, 0) + value
        self.totals[name] = self.totals.get(name, 0) + value

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def observe(self, name: str, value_ms: float) -> None:
        """Add a latency in milliseconds to the histogram `name`."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = latency_histogram.LatencyHistogram()
            self.histograms[name] = histogram
        histogram.observe(value_ms)

    def flush(self) -> None:
        """Send the gauges, and the counters since the last flush."""
        counts, self.counts = self.counts, {}
        if self.client is None:
            return
        with self.client.pipeline() as pipeline:
            for name, value in counts.items():
                pipeline.incr(name, value)
            for name, value in self.gauges.items():
                pipeline.gauge(name, value)


def make_metrics(address: str, prefix: str) -> Metrics:
    """Return metrics sent to `ip:port`, or not sent when it is empty."""
    if not address:
        return Metrics(None)
    host, port = address.rsplit(':', 1)
    client = statsd.StatsClient(host, int(port), prefix=prefix)
    return Metrics(client)
