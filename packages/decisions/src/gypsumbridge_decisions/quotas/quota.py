"""The limit of one customer over all nodes."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Quota:
    """`rate_per_s` requests a second, and a burst of `burst` requests."""

    rate_per_s: float
    burst: float
