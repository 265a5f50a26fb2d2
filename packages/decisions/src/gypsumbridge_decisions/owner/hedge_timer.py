"""A timer of a running call."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HedgeTimer:
    """The first request of a call has run for the hedge delay.

    `late` says that it has run for twice that time.
    """

    call_id: int
    late: bool = False
