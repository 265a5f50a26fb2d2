"""Latency of the owners' replies to liveness checks."""

# The estimate halves in this time, so that the front hedges earlier again
# soon after a slow phase.
HALF_LIFE_MS = 2_000
# Bounds the effect of one owner that was paused for seconds, which would
# otherwise delay the hedges for all other owners.
MAX_EXPECTED_MS = 500.0


class CheckLatency:
    """Decaying maximum of the reply latency of all owners.

    `sent_ms` holds when the unanswered check of each owner was sent. All
    owners share one estimate, because their replies are mostly delayed by
    the load on the hosts, including the front's own.
    """

    def __init__(self) -> None:
        self.sent_ms: dict[str, int] = {}
        self.slowest_ms = 0.0
        self.updated_ms = 0

    def record_sent(self, node_id: str, now_ms: int) -> None:
        """Record a check of an owner, unless one is still unanswered."""
        self.sent_ms.setdefault(node_id, now_ms)

    def record_reply(self, node_id: str, now_ms: int) -> None:
        """Record an owner's reply; one without a check is ignored."""
        sent_ms = self.sent_ms.pop(node_id, None)
        if sent_ms is None:
            return
        took_ms = min(float(now_ms - sent_ms), MAX_EXPECTED_MS)
        self.slowest_ms = max(self.expected_ms(now_ms), took_ms)
        self.updated_ms = now_ms

    def remove_node(self, node_id: str) -> None:
        """Remove the unanswered check of a node that left the membership."""
        self.sent_ms.pop(node_id, None)

    def expected_ms(self, now_ms: int) -> float:
        """Return the decayed maximum of recent reply latencies."""
        age_ms = max(now_ms - self.updated_ms, 0)
        return float(self.slowest_ms * 0.5 ** (age_ms / HALF_LIFE_MS))
