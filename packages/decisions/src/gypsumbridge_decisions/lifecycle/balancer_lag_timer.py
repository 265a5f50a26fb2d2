"""The end of the balancer's lag."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class BalancerLagTimer:
    """The balancer sends nothing new to this node any more."""
