"""The status of a task."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True)
class TaskStatus:
    """The reply to a `StatusQuery`.

    `counts` holds the number of objects of each kind.
    """

    token: str
    counts: Mapping[str, int]
