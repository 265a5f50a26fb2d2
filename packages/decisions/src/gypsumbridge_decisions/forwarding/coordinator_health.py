"""This node's experience with one coordinator."""

FIRST_EXCLUSION_MS = 1_000
MAX_EXCLUSION_MS = 16_000
# A coordinator that refuses a gather is busy, stopping or not up to date.
REFUSAL_EXCLUSION_MS = 500


class CoordinatorHealth:
    """Gathers in flight, and the time until which none is delegated.

    Requests to one searcher are placed elsewhere until `unplaced_until_ms`.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.failures = 0
        self.excluded_until_ms = 0
        self.unplaced_until_ms = 0

    def record_answer(self) -> None:
        """Forget earlier failures."""
        self.failures = 0

    def record_refusal(self, now_ms: int) -> None:
        """Exclude the coordinator for a short time."""
        self.excluded_until_ms = now_ms + REFUSAL_EXCLUSION_MS

    def record_failure(self, now_ms: int) -> None:
        """Exclude the coordinator, longer after each failure in a row."""
        exclusion_ms = FIRST_EXCLUSION_MS << min(self.failures, 8)
        self.failures += 1
        self.excluded_until_ms = now_ms + min(exclusion_ms, MAX_EXCLUSION_MS)
        # Each node finds out by itself, and spends an extra attempt on it. Its
        # share of the retry budget is one or two in 10 s.
        self.unplaced_until_ms = now_ms + MAX_EXCLUSION_MS

    def may_place(self, now_ms: int) -> bool:
        """Return whether requests to one searcher may be placed here."""
        return max(self.excluded_until_ms, self.unplaced_until_ms) <= now_ms
