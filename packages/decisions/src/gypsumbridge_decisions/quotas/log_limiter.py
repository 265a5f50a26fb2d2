"""A bound on repeated log lines."""

# Refusals come at the rate of the requests; the counters have all of them.
LOG_INTERVAL_MS = 5_000
# Customers that are no longer refused are forgotten beyond this number.
MAX_KEYS = 1_000


class LogLimiter:
    """When a line was last logged for each key, and the lines since then."""

    def __init__(self) -> None:
        self.logged_ms: dict[tuple[str, str], int] = {}
        self.suppressed: dict[tuple[str, str], int] = {}

    def admit(self, key: tuple[str, str], now_ms: int) -> int | None:
        """Return the number of suppressed lines, or None to suppress this."""
        logged_ms = self.logged_ms.get(key)
        if logged_ms is not None and now_ms - logged_ms < LOG_INTERVAL_MS:
            self.suppressed[key] = self.suppressed.get(key, 0) + 1
            return None
        if len(self.logged_ms) >= MAX_KEYS:
            self.logged_ms.clear()
            self.suppressed.clear()
        self.logged_ms[key] = now_ms
        return self.suppressed.pop(key, 0)
