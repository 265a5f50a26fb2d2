"""Delivery of messages to the mailboxes of one reactor."""

import collections
from typing import Any

from twisted.internet import interfaces

# A message that leads to others reaches the last task within this many
# rounds; more would keep the sockets waiting.
MAX_ROUNDS = 6


class MailboxScheduler:
    """Delivers what waits in the mailboxes between two polls of the sockets.

    A round delivers to each mailbox what waited there at its start. With
    one round a poll, a message that passes several tasks would wait for all
    sockets that are ready, each time.
    """

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        self.reactor = reactor
        self.ready: collections.deque[Any] = collections.deque()
        self.scheduled = False

    def schedule(self, mailbox: Any) -> None:
        """Deliver to a mailbox soon."""
        self.ready.append(mailbox)
        if not self.scheduled:
            self.scheduled = True
            self.reactor.callLater(0, self._run)

    def _run(self) -> None:
        for _ in range(MAX_ROUNDS):
            for _ in range(len(self.ready)):
                self.ready.popleft().deliver()
        self.scheduled = False
        if self.ready:
            self.scheduled = True
            self.reactor.callLater(0, self._run)
