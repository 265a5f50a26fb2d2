"""The slot time that a run used."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Spent:
    """Slot time in the steady window, and from `START_MS` to the end."""

    steady_ms: int
    all_ms: int
