"""The status of a task."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True)
class TaskStatus:
    """The reply to a `StatusQuery`.

    `counts` gives the number of held objects by kind.
    """

    token: str
    counts: Mapping[str, int]
