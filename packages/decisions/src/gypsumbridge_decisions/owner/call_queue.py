"""Queue of one rank with fairness between callers."""

import collections

from gypsumbridge_decisions.owner import pending_call


class CallQueue:
    """One FIFO queue per caller, served in round-robin order.

    A removed call stays in its caller's queue until `pop` reaches it;
    `length` does not count it.
    """

    def __init__(self) -> None:
        self.by_caller: collections.OrderedDict[
            str, collections.deque[pending_call.PendingCall]
        ] = collections.OrderedDict()
        self.length = 0

    def push(self, call: pending_call.PendingCall) -> None:
        """Append a call to its caller's queue."""
        queue = self.by_caller.get(call.caller)
        if queue is None:
            queue = collections.deque()
            self.by_caller[call.caller] = queue
        queue.append(call)
        call.queued = True
        self.length += 1

    def pop(self) -> pending_call.PendingCall | None:
        """Remove and return the next call of the next caller."""
        while self.by_caller:
            caller, queue = self.by_caller.popitem(last=False)
            call = _pop_queued(queue)
            if queue:
                self.by_caller[caller] = queue
            if call is None:
                continue
            call.queued = False
            self.length -= 1
            return call
        return None

    def remove(self, call: pending_call.PendingCall) -> None:
        """Mark a call as removed, in constant time."""
        if not call.queued:
            return
        call.queued = False
        self.length -= 1


def _pop_queued(
    queue: collections.deque[pending_call.PendingCall],
) -> pending_call.PendingCall | None:
    while queue:
        call = queue.popleft()
        if call.queued:
            return call
    return None
