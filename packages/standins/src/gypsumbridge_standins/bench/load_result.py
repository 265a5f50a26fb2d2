"""What a load run saw."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LoadResult:
    """Latencies in milliseconds count from the time a request was due."""

    sent: int
    answered: int
    full_coverage: int
    refused: int
    p50_ms: float
    p99_ms: float
