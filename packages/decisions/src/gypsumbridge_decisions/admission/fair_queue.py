"""Queue of one rank with fairness between customers."""

import bisect
import dataclasses

from gypsumbridge_decisions.admission import queue_entry
from gypsumbridge_decisions.admission import waiting_part

# Customers without work ahead are dropped when there are more than these.
MAX_CUSTOMERS = 1_000


class FairQueue:
    """Start-time fair queueing of slot time.

    A part is tagged with the virtual time at which its customer has used up
    its earlier work at its share, or the present one if that is later: a
    customer without requests earns no credit. The least tag goes first.
    """

    def __init__(self) -> None:
        self.virtual_ms = 0.0
        self.used_until: dict[str, float] = {}
        self.parts: list[queue_entry.QueueEntry] = []
        self.last_number = 0

    def push(self, part: waiting_part.WaitingPart) -> None:
        """Add a part behind the work that its customer has ahead of it."""
        tag_ms = max(self.virtual_ms, self.used_until.get(part.customer, 0.0))
        self.used_until[part.customer] = tag_ms + part.work_ms / part.weight
        self.last_number += 1
        entry = queue_entry.QueueEntry(False, tag_ms, self.last_number, part)
        bisect.insort(self.parts, entry)

    def defer(self, part: waiting_part.WaitingPart) -> None:
        """Move a part behind those that are not late."""
        entry = self._pop(part)
        if entry is not None:
            bisect.insort(self.parts, dataclasses.replace(entry, is_late=True))

    def take(self, part: waiting_part.WaitingPart) -> None:
        """Remove a part that is sent."""
        entry = self._pop(part)
        if entry is not None:
            self.virtual_ms = max(self.virtual_ms, entry.tag_ms)
        if not self.parts or len(self.used_until) > MAX_CUSTOMERS:
            self._forget_customers()

    def remove(self, part: waiting_part.WaitingPart) -> None:
        """Remove a part that is not sent, and give its work back."""
        entry = self._pop(part)
        if entry is not None and part.customer in self.used_until:
            self.used_until[part.customer] -= part.work_ms / part.weight

    def _pop(
        self, part: waiting_part.WaitingPart
    ) -> queue_entry.QueueEntry | None:
        """Remove and return the entry of a part."""
        for index, entry in enumerate(self.parts):
            if entry.part is part:
                return self.parts.pop(index)
        return None

    def _forget_customers(self) -> None:
        """Drop those whose work lies in the past."""
        self.used_until = {
            name: until
            for name, until in self.used_until.items()
            if until > self.virtual_ms
        }
