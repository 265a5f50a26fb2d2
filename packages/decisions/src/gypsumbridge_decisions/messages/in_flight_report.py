"""The amount of work that a task has in flight."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class InFlightReport:
    """`count` requests of the task `source` have no result yet."""

    source: str
    count: int
