"""One way to make a gateway keep what it receives."""

from collections.abc import Callable
import dataclasses

from gypsumbridge_standins.cluster import cluster as clusters


@dataclasses.dataclass(frozen=True)
class AbuseCase:
    """`play` starts a gateway with `start` and abuses it.

    It gets the cluster, `start`, and the number of peers that take part.
    """

    name: str
    play: Callable[[clusters.Cluster, Callable[[], None], int], None]
