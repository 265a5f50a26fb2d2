"""The end of the load balancer's lag."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class BalancerLagTimer:
    """From now on the balancer sends no new requests to this node."""
