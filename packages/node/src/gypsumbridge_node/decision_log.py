"""The log of routing and placement decisions."""

import logbook

from gypsumbridge_decisions import clock
from gypsumbridge_decisions import messages

WINDOW_MS = 1_000


class DecisionLog:
    """Writes one line per decision, up to a number of lines per second.

    Decisions over the limit are counted and reported in one line when the
    next window starts, so that a flood does not fill the log unnoticed.
    """

    def __init__(
        self, logger: logbook.Logger, clock: clock.Clock, max_lines: int
    ) -> None:
        self.logger = logger
        self.clock = clock
        self.max_lines = max_lines
        self.window_started_ms = clock.now_ms()
        self.written = 0
        self.suppressed = 0

    def write(self, decision: messages.Decision) -> None:
        """Write a decision unless this window has reached its limit."""
        now_ms = self.clock.now_ms()
        if now_ms - self.window_started_ms >= WINDOW_MS:
            self.start_window(now_ms)
        if self.written >= self.max_lines:
            self.suppressed += 1
            return
        self.written += 1
        self.logger.info(
            decision.name,
            extra={'reason': decision.reason, **decision.fields},
        )

    def start_window(self, now_ms: int) -> None:
        """Report the lines suppressed in the last window and start another."""
        if self.suppressed:
            self.logger.warning(
                'decision lines suppressed', extra={'count': self.suppressed}
            )
        self.window_started_ms = now_ms
        self.written = 0
        self.suppressed = 0
