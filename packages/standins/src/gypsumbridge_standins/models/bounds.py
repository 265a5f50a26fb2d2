"""The bounds of the configuration model."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Number of nodes, writes and restarts; time is unbounded.

    There is one node for each failure domain. Those in `restarting` may
    restart once; by symmetry, one such node covers all. `delayed` holds
    the nodes whose replies may arrive late, and `readers` those that can
    reach the store.
    """

    failure_domains: tuple[str, ...] = ('a', 'b', 'c')
    writes: int = 1
    restarting: tuple[int, ...] = (0,)
    delayed: tuple[int, ...] = ()
    readers: tuple[int, ...] = (0, 1, 2)
    max_states: int = 400_000
