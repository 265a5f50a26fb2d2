"""How the parts of a gather route become one response."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class GatherRule:
    """The greatest `top_k` records of all parts, descending.

    `min_coverage` is the least share of the route's services, from 0 to 1,
    that a response must include.
    """

    top_k: int
    min_coverage: float
