"""The end of the time for finishing requests in flight."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AnswerBoundTimer:
    """What is still in flight is answered, shortly before the exit."""
