"""A span of time."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Span:
    """A span in ms of the steady clock; both ends belong to it."""

    start_ms: int
    end_ms: int
