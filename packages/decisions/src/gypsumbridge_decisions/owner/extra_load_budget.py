"""Budget for the hedges and retries of one service."""

# Limits the extra attempts that an idle period can save up.
MAX_TOKENS = 10.0


# Reserved for retries and late hedges. Hedges at the 95th percentile alone
# use up a budget of 5 %, which would leave none for the calls of a real
# straggler.
HEDGE_RESERVE_TOKENS = MAX_TOKENS / 2


class ExtraLoadBudget:
    """A token bucket that first attempts fill and extra attempts drain.

    A first attempt adds the declared share of a token; an extra attempt
    costs one token.
    """

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS / 2

    def earn(self, share: float) -> None:
        """Add the declared share of a token for a first attempt."""
        self.tokens = min(self.tokens + share, MAX_TOKENS)

    def spend(self, reserve: float = 0.0) -> bool:
        """Spend a token; return False if it would cut into the reserve.

        `reserve` is a number of tokens.
        """
        if self.tokens < 1.0 + reserve:
            return False
        self.tokens -= 1.0
        return True
