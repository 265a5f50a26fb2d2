"""The clock that all tasks use."""

from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(frozen=True)
class Clock:
    """A source of time in milliseconds.

    `now_ms` is monotonic with an arbitrary origin, so its readings are only
    comparable within one process. `wall_ms` is Unix time and is used only
    for expiry times that outlive a process. `boot_ms` is monotonic as well
    and counts the time for which the host was suspended, which `now_ms` does
    not; permissions that end while other hosts go on are judged by it.
    """

    now_ms: Callable[[], int]
    wall_ms: Callable[[], int]
    boot_ms: Callable[[], int]


def make_clock(
    monotonic_ns: Callable[[], int],
    wall_ns: Callable[[], int],
    boot_ns: Callable[[], int] | None = None,
) -> Clock:
    """Make a clock from sources of nanoseconds.

    Without `boot_ns`, the host is taken to be never suspended.
    """
    read_boot_ns = boot_ns or monotonic_ns

    def now_ms() -> int:
        return monotonic_ns() // 1_000_000

    def wall_ms() -> int:
        return wall_ns() // 1_000_000

    def boot_ms() -> int:
        return read_boot_ns() // 1_000_000

    return Clock(now_ms=now_ms, wall_ms=wall_ms, boot_ms=boot_ms)
