"""How long owners take to answer when they are asked."""

# The slowest answer counts half after this time, so that the front hedges
# earlier again soon after a slow phase.
HALF_LIFE_MS = 2_000
# One owner that was frozen for seconds must not keep the front from hedging
# around all others.
MAX_EXPECTED_MS = 500.0


class CheckLatency:
    """The slowest recent answer of any owner, decaying.

    All owners share one figure: what delays their answers is mostly the
    load on the hosts, the front's own included.
    """

    def __init__(self) -> None:
        self.sent_ms: dict[str, int] = {}
        self.slowest_ms = 0.0
        self.updated_ms = 0

    def record_sent(self, node_id: str, now_ms: int) -> None:
        """Record that an owner was asked, unless an answer is due."""
        self.sent_ms.setdefault(node_id, now_ms)

    def record_reply(self, node_id: str, now_ms: int) -> None:
        """Record the answer of an owner that was asked."""
        sent_ms = self.sent_ms.pop(node_id, None)
        if sent_ms is None:
            return
        took_ms = min(float(now_ms - sent_ms), MAX_EXPECTED_MS)
        self.slowest_ms = max(self.expected_ms(now_ms), took_ms)
        self.updated_ms = now_ms

    def forget(self, node_id: str) -> None:
        """Drop an owner that left the membership."""
        self.sent_ms.pop(node_id, None)

    def expected_ms(self, now_ms: int) -> float:
        """Return the slowest recent answer, decayed."""
        age_ms = max(now_ms - self.updated_ms, 0)
        return float(self.slowest_ms * 0.5 ** (age_ms / HALF_LIFE_MS))
