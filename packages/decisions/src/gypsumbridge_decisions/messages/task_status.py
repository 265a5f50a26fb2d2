"""What a task holds at one moment."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True)
class TaskStatus:
    """Answers `StatusQuery`; `counts` are things held, by name."""

    token: str
    counts: Mapping[str, int]
