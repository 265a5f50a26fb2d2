"""A timer that watches one owner."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LivenessTimer:
    """Set at `since_ms` for `interval_ms`.

    With `asked` the owner was asked for a sign of life when it was set.
    """

    node_id: str
    since_ms: int
    check_sent: bool
    interval_ms: int


def make_timer(
    node_id: str, now_ms: int, check_sent: bool, timeout_ms: int
) -> LivenessTimer:
    """Return a timer for half of the time an owner may be silent."""
    return LivenessTimer(node_id, now_ms, check_sent, max(timeout_ms // 2, 1))
