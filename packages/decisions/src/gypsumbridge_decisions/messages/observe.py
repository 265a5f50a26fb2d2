"""An observation for a histogram."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Observe:
    """Records the latency `value_ms` in the histogram `name`."""

    name: str
    value_ms: float
