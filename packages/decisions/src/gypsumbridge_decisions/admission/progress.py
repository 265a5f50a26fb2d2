"""How fast the late parts of a rank come closer to being sent."""

import math

from gypsumbridge_decisions.admission import deferral

# Before this time, the expected completion of a part has hardly moved.
MIN_OBSERVED_MS = 200
# An observation holds for this long. New parts that would make no progress
# are then refused at once.
OBSERVATION_MS = 500
# A burst of some runs must not look like an overload that lasts.
SMOOTHING_MS = 300
# While late parts are refused at once, there is one observation in 700 ms. It
# counts for this time.
MAX_GAP_MS = MIN_OBSERVED_MS
# Longer than any deadline.
LONGEST_MS = 3_600_000.0


class Progress:
    """The share of slot time that others take from the late parts.

    Parts that can still be answered within their objective go first, so the
    late ones may never be sent while more of these arrive.
    """

    def __init__(self) -> None:
        self.lost_share = 0.0
        self.observed_ms = -OBSERVATION_MS

    def observe(
        self, since: deferral.Deferral, expected_ms: float, now_ms: int
    ) -> None:
        """Record how far the expected completion of a part has moved."""
        elapsed_ms = now_ms - since.since_ms
        if elapsed_ms < MIN_OBSERVED_MS:
            return
        moved_ms = max(0.0, expected_ms - since.expected_ms)
        gap_ms = min(now_ms - self.observed_ms, MAX_GAP_MS)
        weight = 1.0 - math.exp(-gap_ms / SMOOTHING_MS)
        self.lost_share += weight * (moved_ms / elapsed_ms - self.lost_share)
        self.observed_ms = now_ms

    def extrapolate_ms(self, expected_ms: float, now_ms: int) -> float:
        """Return the expected completion if others continue to go first."""
        if now_ms - self.observed_ms > OBSERVATION_MS:
            return expected_ms
        left_share = 1.0 - self.lost_share
        if left_share <= 0:
            return now_ms + LONGEST_MS
        return now_ms + min((expected_ms - now_ms) / left_share, LONGEST_MS)
