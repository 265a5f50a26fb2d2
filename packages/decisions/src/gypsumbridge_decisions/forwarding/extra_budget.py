"""This node's share of a service's retry budget."""

# A share of the fixed allowance is left unused, so that nodes which joined
# and are not yet counted do not take the fleet over the limit.
FIXED_SHARE = 0.8
# A window is counted in so many slots. Extra attempts are counted over one
# slot more than requests, so that no span of a window's length holds more.
SLOTS = 10
# The process before a restarted one may have spent its share in the same
# window, so a new one has this much of its fixed share in its first window.
FIRST_SHARE = 1.0


class ExtraBudget:
    """Counts requests, and attempts beyond the first of each.

    In each window of `window_ms` this node sends at most `ratio` times its
    requests plus `fixed`, its share of the allowance that does not depend
    on traffic. The whole share may be used at any moment: in a large fleet
    it is two or three attempts, and a rate would leave a part without a
    hedge whenever the one before came a little sooner than usual.
    `started_ms` is when the process started.
    """

    def __init__(
        self, ratio: float, fixed: float, window_ms: int, started_ms: int
    ) -> None:
        self.ratio = ratio
        self.fixed = fixed
        self.window_ms = window_ms
        self.started_ms = started_ms
        self.slot = 0
        self.requests = [0] * SLOTS
        self.extras = [0] * (SLOTS + 1)

    def count_request(self, now_ms: int) -> None:
        """Count a first attempt."""
        self._move_to(now_ms)
        self.requests[self.slot % len(self.requests)] += 1

    def spend(self, now_ms: int) -> bool:
        """Count one extra attempt, if there is room for it."""
        self._move_to(now_ms)
        fixed = self.fixed
        if now_ms - self.started_ms < self.window_ms:
            fixed = min(fixed, FIRST_SHARE)
        allowed = fixed + self.ratio * sum(self.requests)
        if sum(self.extras) + 1 > allowed:
            return False
        self.extras[self.slot % len(self.extras)] += 1
        return True

    def _move_to(self, now_ms: int) -> None:
        """Clear the slots that have begun since the last call."""
        slot = now_ms * SLOTS // self.window_ms
        if slot - self.slot > SLOTS:
            self.slot = slot - SLOTS - 1
        while self.slot < slot:
            self.slot += 1
            self.requests[self.slot % len(self.requests)] = 0
            self.extras[self.slot % len(self.extras)] = 0


def fixed_share(allowance: float, nodes: int) -> float:
    """Return one node's part of the fixed allowance, in attempts."""
    return max(1.0, allowance * FIXED_SHARE / max(1, nodes))
