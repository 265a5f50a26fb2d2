"""Budget for the calls that a front sends to a second owner."""

# Covers the calls in flight to a lost owner in a small fleet, and is small
# compared with the calls of one second of overload.
MAX_TOKENS = 50.0


class HedgeBudget:
    """A token bucket that calls fill and hedged calls drain.

    A call adds the declared share of a token; a hedged call costs one
    token. Without a budget, the calls to owners that reply late because the
    fleet is overloaded would all be sent twice, which worsens the overload.
    """

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS

    def earn(self, share: float, calls: int) -> None:
        """Add the declared share of a token for each first attempt."""
        self.tokens = min(self.tokens + share * calls, MAX_TOKENS)

    def spend(self, calls: int) -> bool:
        """Spend one token per call, or return False if there are too few."""
        if self.tokens < calls:
            return False
        self.tokens -= calls
        return True
