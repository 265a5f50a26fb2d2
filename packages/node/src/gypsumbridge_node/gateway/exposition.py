"""Counters, gauges and histograms in the Prometheus text format."""

from gypsumbridge_node import latency_histogram
from gypsumbridge_node import metrics as all_metrics

CONTENT_TYPE = 'text/plain; version=0.0.4'
_PREFIX = 'gypsumbridge_'


def encode_metrics(metrics: all_metrics.Metrics) -> bytes:
    """Return each counter's total, each gauge and each histogram."""
    lines = []
    for name, total in sorted(metrics.totals.items()):
        lines += _sample(f'{_metric_name(name)}_total', 'counter', total)
    for name, value in sorted(metrics.gauges.items()):
        lines += _sample(_metric_name(name), 'gauge', value)
    for name, found in sorted(metrics.histograms.items()):
        lines += _histogram(_metric_name(name) + '_ms', found)
    return ('\n'.join(lines) + '\n').encode()


def _histogram(
    name: str, histogram: latency_histogram.LatencyHistogram
) -> list[str]:
    lines = [f'# TYPE {name} histogram']
    count = 0
    for bound, count in histogram.cumulative():
        lines.append(f'{name}_bucket{{le="{bound}"}} {count}')
    return [*lines, f'{name}_sum {histogram.sum_ms}', f'{name}_count {count}']


def _metric_name(name: str) -> str:
    plain = ''.join(c if c.isalnum() else '_' for c in name)
    return _PREFIX + plain


def _sample(name: str, kind: str, value: float) -> list[str]:
    return [f'# TYPE {name} {kind}', f'{name} {value}']
