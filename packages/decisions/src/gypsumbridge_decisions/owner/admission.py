"""Adaptive load shedding for one rank on one replica set."""

from gypsumbridge_decisions import messages

# Higher than any admission key, so nothing is shed.
ADMIT_ALL = 64.0
# The level is adjusted once per window. A window is several service times
# long, so that it shows the effect of the previous adjustment.
WINDOW_MS = 100
MIN_LEVEL = 0.01
# Only a caller above this many times the mean rate of its rank has larger
# keys, so a level above it is raised to ADMIT_ALL.
FULL_ADMISSION_LEVEL = 8.0
# Consecutive windows above the target before shedding starts. A query needs
# all its replica sets, so with one window a burst at any of them would shed
# the whole rank.
WINDOWS_TO_SHED = 2
# A wait longer than this many times the target is no burst, so shedding
# starts at once.
SEVERE_WAIT_FACTOR = 2.0
MIN_LEVEL_FACTOR = 0.5
MAX_LEVEL_FACTOR = 1.25
# Growth per window while the wait is below half of its target; the level is
# then far too low.
IDLE_LEVEL_FACTOR = 1.6
# The queue is brought back to its target length within this time. With a
# shorter time the level follows the noise of single windows.
CORRECTION_MS = 500
# Largest correction, as a share of the dispatched calls. It keeps the level
# near the served rate while a long queue drains; without the bound the level
# falls to a tenth of that rate and slots stay idle.
MAX_CORRECTION_SHARE = 0.5
# Bounds the memory of a window at any arrival rate.
MAX_KEYS = 256


class Admission:
    """Holds a rank's queueing delay at its target during overload.

    A call is admitted when its admission key is below `level`. `keys` holds
    the first `MAX_KEYS` keys that were admitted in the current window.
    """

    def __init__(self) -> None:
        self.level = ADMIT_ALL
        self.window_started_ms = 0
        self.windows_above = 0
        self.admitted = 0
        self.dispatched = 0
        self.keys: list[float] = []

    def admit(self, key: float) -> bool:
        """Return whether a call is admitted, and count it if so."""
        if key >= self.level:
            return False
        self.admitted += 1
        if len(self.keys) < MAX_KEYS:
            self.keys.append(key)
        return True

    def record_dispatch(self) -> None:
        """Count a call that was sent from the queue to an endpoint."""
        self.dispatched += 1

    def adjust(
        self,
        queued: int,
        wait_ms: float,
        target_wait_ms: float,
        now_ms: int,
    ) -> None:
        """Adjust the level once per window; `wait_ms` is the predicted wait.

        The next window should admit as many calls as this one dispatched,
        corrected by part of the difference between the queue length and its
        target. The predicted wait is used instead of the measured delay of
        dispatched calls, which lags by a whole queueing delay and would
        lower the level until the queue is empty.
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
            self._raise_level(elapsed_ms)
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
        """Return whether some calls are refused."""
        return self.level < ADMIT_ALL

    def _raise_level(self, elapsed_ms: int) -> None:
        """Raise the level once for each window that has passed.

        This includes windows without arrivals, in which `adjust` is not
        called.
        """
        self.level *= IDLE_LEVEL_FACTOR ** (elapsed_ms // WINDOW_MS)
        if self.level > FULL_ADMISSION_LEVEL:
            self.level = ADMIT_ALL

    def _set_level(self, target_count: float) -> None:
        """Set the level at which about `target_count` calls are admitted."""
        if not self.keys:
            return
        if target_count >= self.admitted:
            factor = min(target_count / self.admitted, MAX_LEVEL_FACTOR)
            self.level = min(self.level * factor, ADMIT_ALL)
            return
        share = max(target_count / self.admitted, MIN_LEVEL_FACTOR)
        # The keys of different callers differ in scale, so a quantile of the
        # admitted keys is more accurate than the same share of the level.
        ordered = sorted(self.keys)
        lowered = ordered[int(share * (len(ordered) - 1))]
        self.level = max(min(lowered, self.level), MIN_LEVEL)


def make_level(
    replica_set: tuple[str, str], rank: str, level: float
) -> messages.AdmissionLevel:
    """Return the report of an admission level to a front."""
    return messages.AdmissionLevel(replica_set[0], replica_set[1], rank, level)
