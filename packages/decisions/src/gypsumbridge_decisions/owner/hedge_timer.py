"""Timer for the hedge of a running call."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HedgeTimer:
    """Fires when a call's first request has run for the hedge delay.

    With `late`, it has run for twice as long as when the timer first fired.
    """

    call_id: int
    late: bool = False
