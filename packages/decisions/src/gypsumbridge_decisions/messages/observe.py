"""A latency for a histogram."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Observe:
    """Counts `value_ms` in the histogram `name`."""

    name: str
    value_ms: float
