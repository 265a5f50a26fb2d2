"""The clock that all tasks use."""

from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(frozen=True)
class Clock:
    """A source of time in milliseconds.

    `now_ms` is monotonic with an arbitrary origin, so its readings are only
    comparable within one process. `wall_ms` is Unix time and is used only
    for expiry times that outlive a process.
    """

    now_ms: Callable[[], int]
    wall_ms: Callable[[], int]


def make_clock(
    monotonic_ns: Callable[[], int], wall_ns: Callable[[], int]
) -> Clock:
    """Make a clock from two sources of nanoseconds."""

    def now_ms() -> int:
        return monotonic_ns() // 1_000_000

    def wall_ms() -> int:
        return wall_ns() // 1_000_000

    return Clock(now_ms=now_ms, wall_ms=wall_ms)
