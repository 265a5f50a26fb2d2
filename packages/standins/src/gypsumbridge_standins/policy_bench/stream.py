"""A stream of queries of one service and rank."""

import dataclasses

from gypsumbridge_decisions import resources


@dataclasses.dataclass(frozen=True)
class Stream:
    """Poisson arrivals of `qps` queries per second from `start_ms` on."""

    service: str
    rank: resources.Rank
    qps: float
    start_ms: int
