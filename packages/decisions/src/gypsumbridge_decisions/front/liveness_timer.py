"""Timer for the liveness check of one owner."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LivenessTimer:
    """Armed at `since_ms` to fire after `interval_ms`.

    With `check_sent`, a liveness check was sent when the timer was armed.
    """

    node_id: str
    since_ms: int
    check_sent: bool
    interval_ms: int


def make_timer(
    node_id: str, now_ms: int, check_sent: bool, timeout_ms: int
) -> LivenessTimer:
    """Return a timer for half of an owner's timeout.

    The first half ends with a liveness check, the second with the hedges.
    """
    return LivenessTimer(node_id, now_ms, check_sent, max(timeout_ms // 2, 1))
