"""Budget of hedges and retries of one service."""

# Allows a few extra attempts at once after a quiet time, not a burst.
MAX_TOKENS = 10.0


class ExtraLoadBudget:
    """Earns a share of a token for each first attempt; an extra costs one."""

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS / 2

    def earn(self, share: float) -> None:
        """Count a first attempt under a declared share."""
        self.tokens = min(self.tokens + share, MAX_TOKENS)

    def spend(self) -> bool:
        """Take one token; False when there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
