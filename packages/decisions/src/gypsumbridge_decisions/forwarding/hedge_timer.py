"""Time to hedge what a request still waits for."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HedgeTimer:
    """Set when a request is sent; see `hedging`."""

    call_id: int
