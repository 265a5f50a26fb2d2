"""The rule by which a gather route merges its parts."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class GatherRule:
    """Merges the greatest `top_k` records of all parts, in descending order.

    `min_coverage` is the minimum share of the route's services, from 0 to
    1, that a response must include.
    """

    top_k: int
    min_coverage: float
