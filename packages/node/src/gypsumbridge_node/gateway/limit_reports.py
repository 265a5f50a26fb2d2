"""Counters and log lines of limits that connections have met."""

from collections.abc import Callable
import time
from typing import Any

INTERVAL_S = 1.0


class LimitReports:
    """Counts each limit that was met, and logs at most one line a second.

    A line has the numbers since the line before.
    """

    def __init__(
        self,
        count: Callable[[str], None],
        logger: Any,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.count = count
        self.logger = logger
        self.now_s = now_s
        self.logged_s = now_s() - INTERVAL_S
        self.numbers: dict[str, int] = {}

    def report(self, limit: str) -> None:
        """Report that a connection has met a limit."""
        self.count(f'limits.{limit}')
        self.numbers[limit] = self.numbers.get(limit, 0) + 1
        now_s = self.now_s()
        if now_s - self.logged_s < INTERVAL_S:
            return
        self.logged_s = now_s
        numbers, self.numbers = self.numbers, {}
        self.logger.warning('limits of connections met', extra=numbers)
