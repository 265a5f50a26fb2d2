"""How far a model explores."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Time is unbounded.

    Each node in `restarting` may restart once. The nodes are alike, so
    one of them stands for any. `delayed` names those whose replies may
    arrive late, and `readers` those that the store can answer.
    """

    failure_domains: tuple[str, ...] = ('a', 'b', 'c')
    writes: int = 1
    restarting: tuple[int, ...] = (0,)
    delayed: tuple[int, ...] = ()
    readers: tuple[int, ...] = (0, 1, 2)
    max_states: int = 400_000
