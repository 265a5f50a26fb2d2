"""Budget of the calls that a front sends to a second owner."""

# Enough for the calls in flight to one of a few owners that is lost, and
# little beside what a second of flood sends.
MAX_TOKENS = 50.0


class HedgeBudget:
    """Earns a share of a token for each call sent; a hedged call costs one.

    Without a budget, owners that answer late because the fleet is
    overloaded get every call twice, which overloads it further.
    """

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS

    def earn(self, share: float, calls: int) -> None:
        """Count calls sent for the first time under a declared share."""
        self.tokens = min(self.tokens + share * calls, MAX_TOKENS)

    def spend(self, calls: int) -> bool:
        """Take a token a call; False when there are too few."""
        if self.tokens < calls:
            return False
        self.tokens -= calls
        return True
