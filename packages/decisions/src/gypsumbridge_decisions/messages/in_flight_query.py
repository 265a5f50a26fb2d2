"""A query for the work that a task has in flight."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class InFlightQuery:
    """Answered with an `InFlightReport` to the lifecycle task."""
