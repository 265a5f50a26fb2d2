"""The timer of the configuration task."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Tick:
    """Comes every 500 ms."""
