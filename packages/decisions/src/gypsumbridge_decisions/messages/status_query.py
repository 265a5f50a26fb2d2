"""Asks a task what it holds."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StatusQuery:
    """Answered by a `TaskStatus` with the same token."""

    token: str
