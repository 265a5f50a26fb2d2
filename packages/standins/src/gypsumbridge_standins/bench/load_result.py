"""The result of a load run."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LoadResult:
    """Counts, and latencies in ms from the due time of a request."""

    sent: int
    answered: int
    full_coverage: int
    refused: int
    p50_ms: float
    p99_ms: float
