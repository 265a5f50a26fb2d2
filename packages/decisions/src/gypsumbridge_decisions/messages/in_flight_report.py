"""How much work a task still has."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class InFlightReport:
    """`count` requests of the task `source` have no result yet."""

    source: str
    count: int
