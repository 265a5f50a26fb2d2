"""A case of the bench."""

from collections.abc import Callable
import dataclasses

from gypsumbridge_standins.replay import replay as replays

Fault = Callable[[replays.Replay], None]


@dataclasses.dataclass(frozen=True)
class Case:
    """Load of each rank as a share of the fleet's capacity, and a fault.

    `before` is the load up to `START_MS` and `load` the one after it. The
    fault happens at `START_MS`, and the membership shows lost nodes
    `MEMBERSHIP_MS` later.
    """

    name: str
    load: tuple[tuple[str, float], ...]
    fault: Fault
    before: tuple[tuple[str, float], ...]


# The replica sets have latency samples by then.
START_MS = 1_000
# Between a loss and the membership's report of it.
MEMBERSHIP_MS = 1_000
END_MS = 3_500
# Longer than every deadline, so that each query has ended.
DRAIN_MS = 4_500


def window(at_ms: int) -> str:
    """Return the window that a time belongs to."""
    if at_ms < START_MS:
        return 'before'
    if at_ms < START_MS + MEMBERSHIP_MS:
        return 'onset'
    if at_ms < END_MS:
        return 'steady'
    return 'after'
