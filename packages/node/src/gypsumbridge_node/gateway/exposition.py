"""Counters and gauges in the Prometheus text format."""

from gypsumbridge_node import metrics as all_metrics

CONTENT_TYPE = 'text/plain; version=0.0.4'
_PREFIX = 'gypsumbridge_'


def encode_metrics(metrics: all_metrics.Metrics) -> bytes:
    """Return each counter's total and each gauge's value."""
    lines = []
    for name, total in sorted(metrics.totals.items()):
        lines += _sample(f'{_metric_name(name)}_total', 'counter', total)
    for name, value in sorted(metrics.gauges.items()):
        lines += _sample(_metric_name(name), 'gauge', value)
    return ('\n'.join(lines) + '\n').encode()


def _metric_name(name: str) -> str:
    plain = ''.join(c if c.isalnum() else '_' for c in name)
    return _PREFIX + plain


def _sample(name: str, kind: str, value: float) -> list[str]:
    return [f'# TYPE {name} {kind}', f'{name} {value}']
