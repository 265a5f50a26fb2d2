"""A delayed message from a task to itself."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True)
class Timer:
    """Delivers `event` to the mailbox of the same task after `delay_ms`."""

    delay_ms: int
    event: Any
