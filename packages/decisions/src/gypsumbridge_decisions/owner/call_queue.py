"""Queued calls of one rank, fair between callers."""

import collections

from gypsumbridge_decisions.owner import pending_call


class CallQueue:
    """A queue for each caller, served in turn.

    Calls that were cancelled stay until they are reached; `length` does
    not count them.
    """

    def __init__(self) -> None:
        self.by_caller: collections.OrderedDict[
            str, collections.deque[pending_call.PendingCall]
        ] = collections.OrderedDict()
        self.length = 0

    def push(self, call: pending_call.PendingCall) -> None:
        """Add a call at the end of its caller's queue."""
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
            call = _pop_live(queue)
            if queue:
                self.by_caller[caller] = queue
            if call is None:
                continue
            call.queued = False
            self.length -= 1
            return call
        return None

    def remove(self, call: pending_call.PendingCall) -> None:
        """Take a queued call out without searching for it."""
        if not call.queued:
            return
        call.queued = False
        self.length -= 1


def _pop_live(
    queue: collections.deque[pending_call.PendingCall],
) -> pending_call.PendingCall | None:
    while queue:
        call = queue.popleft()
        if call.queued:
            return call
    return None
