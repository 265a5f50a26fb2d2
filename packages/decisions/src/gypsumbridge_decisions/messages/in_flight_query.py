"""Asks a task how much work it still has."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class InFlightQuery:
    """Answered to the lifecycle task with an `InFlightReport`."""
