"""The tokens that a holder has for one customer."""

import math

from gypsumbridge_decisions.quotas import customer_limits

# Stated when a bucket without a rate never gains a token.
NEVER_MS = 3_600_000
# Absorbs the rounding of fractions, so that a token is given when it is due.
EPSILON = 1e-9
# A node does not ask this bucket before the promised moment. Tokens that
# nobody comes back for are reserved for no longer than this.
MAX_PROMISE_MS = 1_000


class TokenBucket:
    """A bucket that began at `begin_ms`, empty or full.

    What an earlier process has granted is unknown, so the bucket begins
    empty. After `full_after_ms` those tokens no longer count, and the level
    is raised to the capacity less `granted`, the tokens granted since the
    beginning. `pending` tells which of the two additions are still due.
    """

    def __init__(
        self,
        limits: customer_limits.CustomerLimits,
        begin_ms: int,
        full: bool,
    ) -> None:
        self.limits = limits
        self.begin_ms = begin_ms
        self.updated_ms = begin_ms
        self.level = limits.capacity if full else 0.0
        self.granted = 0
        self.promised_ms = -math.inf
        self.bonus_due_ms: int | None = None
        self.full_due_ms: int | None = None
        if not full:
            self.bonus_due_ms = begin_ms + limits.bonus_after_ms
            self.full_due_ms = begin_ms + limits.full_after_ms

    def resize(
        self, limits: customer_limits.CustomerLimits, now_ms: int
    ) -> None:
        """Change the limits; a level above the new capacity is cut."""
        self.advance(now_ms)
        self.limits = limits
        self.level = min(self.level, limits.capacity)
        if self.full_due_ms is not None:
            self.full_due_ms = max(
                self.full_due_ms, self.begin_ms + limits.full_after_ms
            )

    def advance(self, now_ms: int) -> None:
        """Add the tokens that are due until a time."""
        if self.bonus_due_ms is not None and self.bonus_due_ms <= now_ms:
            self._fill(self.bonus_due_ms)
            self.bonus_due_ms = None
            self._raise_to(self.level + self.limits.bonus)
        if self.full_due_ms is not None and self.full_due_ms <= now_ms:
            self._fill(self.full_due_ms)
            self.full_due_ms = None
            self._raise_to(self.limits.capacity - self.granted)
        self._fill(now_ms)

    def take(self, wanted: int, now_ms: int) -> int:
        """Take up to `wanted` whole tokens, and return how many."""
        self.advance(now_ms)
        taken = max(0, min(wanted, int(self.level + EPSILON)))
        self.level = max(0.0, self.level - taken)
        self.granted += taken
        return taken

    def next_token_ms(self, now_ms: int) -> int:
        """Return after how many milliseconds the bucket has a token."""
        self.advance(now_ms)
        missing = 1.0 - self.level
        if missing <= EPSILON:
            return 0
        rate = self.limits.rate_per_ms
        delay_ms = NEVER_MS
        if missing < rate * NEVER_MS:
            delay_ms = int(missing / rate) + 1
        for due_ms in (self.bonus_due_ms, self.full_due_ms):
            if due_ms is not None:
                # The addition may not suffice; the caller asks again then.
                delay_ms = min(delay_ms, max(1, due_ms - now_ms))
        return delay_ms

    def promise_ms(self, now_ms: int) -> int:
        """Return after how many milliseconds a refused request may return.

        Each is promised a moment one token after the last one, so that
        those which were refused earlier come back earlier.
        """
        earliest_ms = now_ms + self.next_token_ms(now_ms)
        rate = self.limits.rate_per_ms
        apart_ms = float(MAX_PROMISE_MS)
        if rate * MAX_PROMISE_MS > 1:
            apart_ms = 1 / rate
        later_ms = min(self.promised_ms + apart_ms, now_ms + MAX_PROMISE_MS)
        self.promised_ms = max(earliest_ms, later_ms)
        return math.ceil(self.promised_ms) - now_ms

    def _fill(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self.updated_ms)
        self.updated_ms = max(self.updated_ms, now_ms)
        self._raise_to(self.level + elapsed_ms * self.limits.rate_per_ms)

    def _raise_to(self, level: float) -> None:
        capped = min(level, self.limits.capacity)
        self.level = max(self.level, capped)
