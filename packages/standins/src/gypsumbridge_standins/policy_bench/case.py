"""A case of the bench."""

from collections.abc import Callable
import dataclasses

from gypsumbridge_standins.replay import replay as replays

Fault = Callable[[replays.Replay], None]


@dataclasses.dataclass(frozen=True)
class Case:
    """Load of each rank as a share of the fleet's capacity, and a fault.

    `load_before` is the load until `START_MS` and `load` the one after it. The
    fault begins at `START_MS`, and the membership reports lost nodes
    `DETECTION_MS` later.
    """

    name: str
    load: tuple[tuple[str, float], ...]
    fault: Fault
    load_before: tuple[tuple[str, float], ...]


# Time for the replica sets to collect latency samples.
START_MS = 1_000
# Time from a loss to the membership's report of it.
DETECTION_MS = 1_000
END_MS = 3_500
# Longer than every deadline, so that each query ends.
DRAIN_MS = 4_500


def window(at_ms: int) -> str:
    """Return the window that a time belongs to."""
    if at_ms < START_MS:
        return 'before'
    if at_ms < START_MS + DETECTION_MS:
        return 'onset'
    if at_ms < END_MS:
        return 'steady'
    return 'after'
