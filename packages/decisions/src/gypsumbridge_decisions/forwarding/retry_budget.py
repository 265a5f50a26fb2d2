"""This node's share of a service's retry budget."""

# The share of the fixed allowance that the counted nodes use. The rest is left
# unused, so that nodes that are not counted yet do not exceed the limit.
ALLOWANCE_SHARE = 0.8
# The slots of a window. Extra attempts are counted over one slot more than
# requests, so that no interval as long as a window exceeds the budget.
WINDOW_SLOTS = 10
# A process uses at most this many attempts of its share in its first window.
# After a restart, the previous process may have spent the same share in the
# same window.
FIRST_WINDOW_ATTEMPTS = 1.0


class RetryBudget:
    """Counts requests, and extra attempts beyond the first of each.

    In each window of `window_ms` this node sends at most `ratio` times its
    requests plus `fixed` extra attempts; `fixed` is its share of the
    allowance that does not depend on traffic. The share may be spent at
    once: in a large fleet it is two or three attempts, and a rate limit
    would leave a part without a hedge whenever two hedges are needed in
    quick succession. `started_ms` is when the process started.
    """

    def __init__(
        self, ratio: float, fixed: float, window_ms: int, started_ms: int
    ) -> None:
        self.ratio = ratio
        self.fixed = fixed
        self.window_ms = window_ms
        self.started_ms = started_ms
        self.slot = 0
        self.requests = [0] * WINDOW_SLOTS
        self.extra_attempts = [0] * (WINDOW_SLOTS + 1)

    def count_request(self, now_ms: int) -> None:
        """Count a first attempt."""
        self._advance_to(now_ms)
        self.requests[self.slot % len(self.requests)] += 1

    def spend(self, now_ms: int) -> bool:
        """Count one extra attempt, and return whether the budget allows it."""
        self._advance_to(now_ms)
        fixed = self.fixed
        if now_ms - self.started_ms < self.window_ms:
            fixed = min(fixed, FIRST_WINDOW_ATTEMPTS)
        allowed = fixed + self.ratio * sum(self.requests)
        if sum(self.extra_attempts) + 1 > allowed:
            return False
        self.extra_attempts[self.slot % len(self.extra_attempts)] += 1
        return True

    def _advance_to(self, now_ms: int) -> None:
        """Reset the slots that have begun since the last call."""
        slot = now_ms * WINDOW_SLOTS // self.window_ms
        if slot - self.slot > WINDOW_SLOTS:
            self.slot = slot - WINDOW_SLOTS - 1
        while self.slot < slot:
            self.slot += 1
            self.requests[self.slot % len(self.requests)] = 0
            self.extra_attempts[self.slot % len(self.extra_attempts)] = 0


def fixed_share(allowance: float, sharers: float) -> float:
    """Return one node's share of the fixed allowance, in attempts."""
    return max(1.0, allowance * ALLOWANCE_SHARE / max(1, sharers))
