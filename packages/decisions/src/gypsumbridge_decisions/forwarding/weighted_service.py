"""One target of a route."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service and its relative weight among the route's targets."""

    service: str
    weight: float = 1.0
