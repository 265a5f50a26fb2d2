"""A query for the status of a task."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StatusQuery:
    """Answered with a `TaskStatus` with the same token."""

    token: str
