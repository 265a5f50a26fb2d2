"""A time source that is advanced manually."""

from gypsumbridge_decisions.clock import clock as clock_type


class ManualTime:
    """A time in milliseconds, advanced by tests and replays."""

    def __init__(self, start_ms: int = 0) -> None:
        self.value_ms = start_ms
        self.suspended_ms = 0

    def advance(self, delta_ms: int) -> None:
        """Move time forward by `delta_ms`, which must not be negative."""
        if delta_ms < 0:
            raise ValueError('delta_ms must not be negative')
        self.value_ms += delta_ms

    def suspend(self, delta_ms: int) -> None:
        """Suspend the host: only the clock of the boot goes on."""
        self.suspended_ms += delta_ms

    def clock(self) -> clock_type.Clock:
        """Return a clock that reads this time."""
        return clock_type.Clock(
            now_ms=lambda: self.value_ms,
            wall_ms=lambda: self.value_ms,
            boot_ms=lambda: self.value_ms + self.suspended_ms,
        )
