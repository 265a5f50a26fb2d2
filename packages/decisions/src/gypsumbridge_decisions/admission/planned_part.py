"""What is planned for a part that waits."""

import dataclasses

from gypsumbridge_decisions.admission import waiting_part


@dataclasses.dataclass(frozen=True)
class PlannedPart:
    """The part and the searcher on which it is expected to complete first.

    It is sent there `now`, or waits. It is expected to be complete at
    `completed_ms`. Without a searcher that may be used, `searcher_id` is
    empty. A searcher that `is_idle` has nothing else to run.
    """

    part: waiting_part.WaitingPart
    searcher_id: str
    now: bool
    completed_ms: float
    is_idle: bool = False

    def is_late(self) -> bool:
        """Return whether the part waits too long for its objective."""
        if self.now or not self.part.measured:
            return False
        return self.completed_ms > self.part.due_ms

    def is_hopeless(self) -> bool:
        """Return whether no searcher can complete the part in time.

        An idle searcher gets it in any case. Otherwise, a service that has
        been slow for a while would get no requests any more, and the node
        would never measure that it is fast again.
        """
        if not self.searcher_id:
            return True
        if self.is_idle or not self.part.measured:
            return False
        return self.completed_ms > self.part.expires_ms
