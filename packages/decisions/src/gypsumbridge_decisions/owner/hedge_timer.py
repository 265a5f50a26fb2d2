"""A timer of a running call."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HedgeTimer:
    """The first request of a call has run for the hedge delay."""

    call_id: int
