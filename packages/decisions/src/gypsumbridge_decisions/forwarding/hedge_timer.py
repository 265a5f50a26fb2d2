"""Timer for hedging the parts of a request that are in flight."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HedgeTimer:
    """Set when a request is sent; see `hedging`."""

    call_id: int
