"""This node's share of a service's retry budget."""

# A share of the fixed allowance is left unused, so that nodes which joined
# and are not yet counted do not take the fleet over the limit.
FIXED_SHARE = 0.8


# This much of the fixed share may be saved up; the rest is earned evenly
# over the window.
SAVED_SHARE = 0.4


class ExtraBudget:
    """Tokens for attempts beyond the first of each request.

    Each request earns `ratio` tokens. `fixed` is the node's share of the
    allowance that does not depend on traffic, for each window of
    `window_ms`: a part of it can be saved, the rest is earned evenly over
    time, so that no window sees more than `ratio` times its requests plus
    `fixed`. A restarted node begins with one token at most, since the one
    before may have spent its share in this window.
    """

    def __init__(
        self, ratio: float, fixed: float, window_ms: int, now_ms: int
    ) -> None:
        self.ratio = ratio
        self.fixed = fixed
        self.window_ms = window_ms
        self.earned_ms = now_ms
        self.tokens = min(1.0, self.most_saved())

    def most_saved(self) -> float:
        """Return how many tokens can be kept for later."""
        return max(1.0, self.fixed * SAVED_SHARE)

    def earn(self, now_ms: int) -> None:
        """Count a first attempt, and the time since the last one."""
        passed_ms = now_ms - self.earned_ms
        self.earned_ms = now_ms
        evenly = max(0.0, self.fixed - self.most_saved())
        self.tokens += self.ratio + evenly * passed_ms / self.window_ms
        self.tokens = min(self.most_saved(), self.tokens)

    def spend(self) -> bool:
        """Take a token for one extra attempt, if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def fixed_share(allowance: float, nodes: int) -> float:
    """Return one node's part of the fixed allowance, in tokens."""
    return max(1.0, allowance * FIXED_SHARE / max(1, nodes))
