"""Slot time that a run took."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Spent:
    """Slot time in the steady window, and from the start to the end."""

    steady_ms: int
    all_ms: int
