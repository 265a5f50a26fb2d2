"""The bounds of the model of a partition's holder."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HolderBounds:
    """How often each fault may occur; time is unbounded.

    `late` counts reads and writes that arrive at any later time, and
    `takeovers` the attempts to take over. The store's entry is missing at
    the beginning of a `first_start`.
    """

    takeovers: int = 2
    kills: int = 1
    late: int = 1
    restores: int = 0
    first_start: bool = False
