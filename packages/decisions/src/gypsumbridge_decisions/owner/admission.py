"""Admission level of one rank on one replica set."""

from gypsumbridge_decisions import messages

# Above every admission key, so nothing is shed.
ADMIT_ALL = 64.0
# One adjustment per window; several slot times long, so that a window sees
# the effect of the one before it.
WINDOW_MS = 100
MIN_LEVEL = 0.01
MAX_DECREASE = 0.5
MIN_DECREASE = 0.95
INCREASE = 1.1


class Admission:
    """Lowers the level while calls wait too long and raises it otherwise."""

    def __init__(self) -> None:
        self.level = ADMIT_ALL
        self.window_started_ms = 0
        self.admitted = 0
        self.dispatched = 0
        self.waited_ms = 0
        self.largest_key = 0.0

    def admit(self, key: float) -> bool:
        """Count an arrival and say whether its key is below the level."""
        self.largest_key = max(self.largest_key, key)
        if key >= self.level:
            return False
        self.admitted += 1
        return True

    def record_wait(self, waited_ms: int) -> None:
        """Count a dispatch after a queueing delay."""
        self.dispatched += 1
        self.waited_ms += waited_ms

    def adjust(self, queued: int, target_wait_ms: float, now_ms: int) -> None:
        """Move the level once per window.

        The decrease follows the share of arrivals that was dispatched,
        so that one or two windows reach the rate that can be served.
        """
        if now_ms - self.window_started_ms < WINDOW_MS:
            return
        if self._overloaded(queued, target_wait_ms):
            ceiling = min(self.level, self.largest_key)
            served = self.dispatched / max(self.admitted, 1)
            factor = min(max(served, MAX_DECREASE), MIN_DECREASE)
            self.level = max(ceiling * factor, MIN_LEVEL)
        elif self.level < ADMIT_ALL:
            self.level *= INCREASE
            if self.level > self.largest_key:
                self.level = ADMIT_ALL
        self.window_started_ms = now_ms
        self.admitted = 0
        self.dispatched = 0
        self.waited_ms = 0
        self.largest_key = 0.0

    def shedding(self) -> bool:
        """Say whether some arrivals are refused."""
        return self.level < ADMIT_ALL

    def _overloaded(self, queued: int, target_wait_ms: float) -> bool:
        if not self.dispatched:
            return queued > 0 and self.admitted > 0
        return self.waited_ms / self.dispatched > target_wait_ms


def make_level(
    replica_set: tuple[str, str], rank: str, level: float
) -> messages.AdmissionLevel:
    """Return the message that reports a level to a front."""
    return messages.AdmissionLevel(replica_set[0], replica_set[1], rank, level)
