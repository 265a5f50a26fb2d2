"""A customer of the declared services."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Customer:
    """One customer, whose callers share its keys and its quota.

    `rank` goes before the rank of a route; None leaves the route's. At most
    `rate_per_s` requests a second and a burst of `burst` are served over all
    nodes together, without limit if both are 0. With `homes`, requests run
    only in these regions.
    """

    name: str
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    homes: tuple[str, ...] = ()

    def is_limited(self) -> bool:
        """Return whether the customer has a quota."""
        return self.rate_per_s > 0 or self.burst > 0
