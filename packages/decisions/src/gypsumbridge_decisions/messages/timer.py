"""A message to itself that a decision wants later."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True)
class Timer:
    """Puts `event` into the same task's mailbox after `delay_ms`."""

    delay_ms: int
    event: Any
