"""Cost of decision log lines."""

import io
import time

import logbook

from gypsumbridge_decisions import clock
from gypsumbridge_decisions import messages
from gypsumbridge_node import decision_log
from gypsumbridge_node import json_lines
from gypsumbridge_standins.capacity import slope
from gypsumbridge_standins.capacity import timing

LINE_COUNTS = (100, 500, 1_000, 2_000)
DECISION = messages.Decision(
    'send_to_endpoint',
    'first',
    {
        'query': 'node-1-0123456789ab-12345',
        'attempt': 3,
        'shard': 's0123',
        'rank': 'border',
        'endpoint': 'verify-portal-set-01-a',
        'call': 123,
        'waited_ms': 2,
    },
)


def measure() -> list[slope.Slope]:
    """Return the time of written and of suppressed lines."""
    written = []
    suppressed = []
    node_clock = clock.make_clock(time.monotonic_ns, time.time_ns)
    for size in LINE_COUNTS:
        written.append((size, _time_lines(node_clock, size, size)))
        suppressed.append((size, _time_lines(node_clock, size, 0)))
    return [
        slope.fit_slope('log lines written', 'lines', 'us', written),
        slope.fit_slope('log lines left out', 'lines', 'us', suppressed),
    ]


def _time_lines(node_clock: clock.Clock, lines: int, limit: int) -> float:
    handler = logbook.StreamHandler(io.StringIO(), level='INFO')
    handler.formatter = json_lines.format_record

    def write() -> None:
        log = decision_log.DecisionLog(logbook.Logger('n'), node_clock, limit)
        for _ in range(lines):
            log.write(DECISION)

    with handler.applicationbound():
        return timing.processor_us(write, 3)
