"""Admission level of one rank on one replica set."""

from gypsumbridge_decisions import messages

# Above every admission key, so nothing is shed.
ADMIT_ALL = 64.0
# One adjustment per window; several slot times long, so that a window sees
# the effect of the one before it.
WINDOW_MS = 100
MIN_LEVEL = 0.01
# A caller needs this many times the mean rate of its rank for a larger key.
FULL_ADMISSION_LEVEL = 8.0
# Windows in a row above the target before shedding starts. A query needs all
# its replica sets, so with one window a burst at any of them shed the rank.
WINDOWS_TO_SHED = 2
# A wait this many times the target is no burst, so shedding starts at once.
SEVERE_WAIT_FACTOR = 2.0
MIN_LEVEL_FACTOR = 0.5
MAX_LEVEL_FACTOR = 1.25
# Far below the target wait the level is much too low and rises faster.
IDLE_LEVEL_FACTOR = 1.6
# The queue is brought back to its target within this time. A shorter one
# makes the level follow the noise of single windows.
CORRECTION_MS = 500
# Share of the dispatched calls that a correction may add or take away. The
# level then stays near what is served while a long queue drains; without
# the bound it fell to a tenth of that and the slots ran empty.
MAX_CORRECTION_SHARE = 0.5
# Bounds the memory of a window at any rate of arrivals.
MAX_KEYS = 256


class Admission:
    """Holds a rank's queueing delay at its target while it is overloaded.

    `keys` are admission keys that were admitted in the present window,
    the first `MAX_KEYS` of them.
    """

    def __init__(self) -> None:
        self.level = ADMIT_ALL
        self.window_started_ms = 0
        self.windows_above = 0
        self.admitted = 0
        self.dispatched = 0
        self.keys: list[float] = []

    def admit(self, key: float) -> bool:
        """Count an arrival and say whether its key is below the level."""
        if key >= self.level:
            return False
        self.admitted += 1
        if len(self.keys) < MAX_KEYS:
            self.keys.append(key)
        return True

    def record_dispatch(self) -> None:
        """Count a call that left the queue for an endpoint."""
        self.dispatched += 1

    def adjust(
        self,
        queued: int,
        wait_ms: float,
        target_wait_ms: float,
        now_ms: int,
    ) -> None:
        """Move the level once per window; `wait_ms` is the predicted wait.

        The next window shall admit what this one dispatched, plus or minus
        a share of the distance between the queue and its target. Judging
        by the delay of calls that left the queue would react a whole
        queueing delay late, and the level would fall until the queue is
        empty.
        """
        elapsed_ms = now_ms - self.window_started_ms
        if elapsed_ms < WINDOW_MS:
            return
        self.windows_above += 1
        if wait_ms <= target_wait_ms:
            self.windows_above = 0
        elif wait_ms > SEVERE_WAIT_FACTOR * target_wait_ms:
            self.windows_above = WINDOWS_TO_SHED
        if self.shedding() and wait_ms < target_wait_ms / 2:
            self._raise(elapsed_ms)
        elif self.shedding() or self.windows_above >= WINDOWS_TO_SHED:
            target = queued * target_wait_ms / max(wait_ms, 1.0)
            correction = (target - queued) * elapsed_ms / CORRECTION_MS
            bound = MAX_CORRECTION_SHARE * self.dispatched
            correction = min(max(correction, -bound), bound)
            self._set_level(self.dispatched + correction)
        self.window_started_ms = now_ms
        self.admitted = 0
        self.dispatched = 0
        self.keys = []

    def shedding(self) -> bool:
        """Say whether some arrivals are refused."""
        return self.level < ADMIT_ALL

    def _raise(self, elapsed_ms: int) -> None:
        """Raise the level, also for the windows in which nothing arrived."""
        self.level *= IDLE_LEVEL_FACTOR ** (elapsed_ms // WINDOW_MS)
        if self.level > FULL_ADMISSION_LEVEL:
            self.level = ADMIT_ALL

    def _set_level(self, target_count: float) -> None:
        """Set the level at which about `wanted` calls are admitted."""
        if not self.keys:
            return
        if target_count >= self.admitted:
            factor = min(target_count / self.admitted, MAX_LEVEL_FACTOR)
            self.level = min(self.level * factor, ADMIT_ALL)
            return
        share = max(target_count / self.admitted, MIN_LEVEL_FACTOR)
        # Keys of callers differ in scale, so a quantile of those seen is
        # closer than the same share of the level.
        ordered = sorted(self.keys)
        lowered = ordered[int(share * (len(ordered) - 1))]
        self.level = max(min(lowered, self.level), MIN_LEVEL)


def make_level(
    replica_set: tuple[str, str], rank: str, level: float
) -> messages.AdmissionLevel:
    """Return the message that reports a level to a front."""
    return messages.AdmissionLevel(replica_set[0], replica_set[1], rank, level)
