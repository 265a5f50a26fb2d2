"""A span of time."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Span:
    """A closed interval in ms on the monotonic clock."""

    start_ms: int
    end_ms: int
