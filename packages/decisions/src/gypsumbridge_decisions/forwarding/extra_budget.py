"""This node's share of a service's retry budget."""

# A share of the fixed allowance is left unused, so that nodes which joined
# and are not yet counted do not take the fleet over the limit.
FIXED_SHARE = 0.7


class ExtraBudget:
    """Tokens for attempts beyond the first of each request.

    Each request earns `ratio` tokens. `fixed` is the node's share of the
    allowance that does not depend on traffic, for each window; it bounds
    the tokens that can be saved, so that no window sees more than
    `ratio` times its requests plus `fixed`. A restarted node begins with
    half of it, since the one before may have spent its share in this window.
    """

    def __init__(self, ratio: float, fixed: float) -> None:
        self.ratio = ratio
        self.fixed = fixed
        self.tokens = fixed / 2

    def earn(self) -> None:
        """Count a first attempt."""
        self.tokens = min(self.fixed, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Take a token for one extra attempt, if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def fixed_share(allowance: float, nodes: int) -> float:
    """Return one node's part of the fixed allowance, in tokens."""
    return max(1.0, allowance * FIXED_SHARE / max(1, nodes))
