"""What a node knows of the load of one searcher."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SearcherLoad:
    """Requests in flight from this node, slots and the time of a run.

    A run takes `slowness` times the median of its route, `overdue` medians
    longer if attempts are overdue. `penalty` is a further cost in medians
    which does not delay the request. After a refusal, the searcher is full
    until `full_until_ms`.
    """

    searcher_id: str
    slots: int
    in_flight: int
    slowness: float = 1.0
    overdue: float = 0.0
    penalty: float = 0.0
    full_until_ms: int = 0

    def has_room(self, taken: int, now_ms: int) -> bool:
        """Return whether a slot is expected to be free.

        `taken` slots are planned for other requests.
        """
        if self.full_until_ms > now_ms:
            return False
        return self.in_flight + taken < self.slots

    def expected_ms(self, request_ms: float, taken: int, now_ms: int) -> float:
        """Return the expected time until another request is complete."""
        load = max(0, self.in_flight + taken + 1 - self.slots) / self.slots
        run_ms = request_ms * (self.slowness * (1.0 + load) + self.overdue)
        return max(0, self.full_until_ms - now_ms) + run_ms
