"""Budget of hedges and retries of one service."""

# Allows a few extra attempts at once after a quiet time, not a burst.
MAX_TOKENS = 10.0


# Kept for retries and late hedges. Hedges at a percentile use up a budget of
# the same share, and left nothing for the calls of a real straggler.
HEDGE_RESERVE_TOKENS = MAX_TOKENS / 2


class ExtraLoadBudget:
    """Earns a share of a token for each first attempt; an extra costs one."""

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS / 2

    def earn(self, share: float) -> None:
        """Count a first attempt under a declared share."""
        self.tokens = min(self.tokens + share, MAX_TOKENS)

    def spend(self, reserve: float = 0.0) -> bool:
        """Take one token; False when that would leave less than `reserve`."""
        if self.tokens < 1.0 + reserve:
            return False
        self.tokens -= 1.0
        return True
