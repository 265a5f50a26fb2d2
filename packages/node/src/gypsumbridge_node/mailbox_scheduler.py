"""Schedules delivery to the mailboxes of one reactor."""

import collections
from typing import Any

from twisted.internet import interfaces

# A message and those that it leads to reach the last task within this many
# rounds; more rounds would delay the polling of the sockets.
MAX_ROUNDS = 6


class MailboxScheduler:
    """Delivers queued messages between two polls of the sockets.

    A round delivers to each mailbox the messages that were queued at its
    start. With one round per poll, a message that passes several tasks
    would wait at each of them until all ready sockets had been served.
    """

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        self.reactor = reactor
        self.ready: collections.deque[Any] = collections.deque()
        self.scheduled = False

    def schedule(self, mailbox: Any) -> None:
        """Queue a mailbox for delivery in the next round."""
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
