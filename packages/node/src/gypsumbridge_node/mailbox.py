"""The queue of messages in front of a task."""

import collections
from collections.abc import Callable
from typing import Any

import logbook
from twisted.internet import interfaces


class Mailbox:
    """Delivers messages to one handler, one at a time and in order.

    A handler that raises loses that message only; the error goes to
    `on_error` and the task goes on.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        on_error: Callable[[Exception, Any], None],
    ) -> None:
        self.reactor = reactor
        self.on_error = on_error
        self.waiting: collections.deque[Any] = collections.deque()
        self.handle: Callable[[Any], None] | None = None
        self.scheduled = False

    def start(self, handle: Callable[[Any], None]) -> None:
        """Set the handler and deliver what has arrived before it."""
        self.handle = handle
        self._schedule()

    def put(self, message: Any) -> None:
        """Add a message; it is handled on a later turn of the reactor."""
        self.waiting.append(message)
        if not self.scheduled:
            self._schedule()

    def put_later(self, delay_ms: int, message: Any) -> None:
        """Add a message after a delay."""
        self.reactor.callLater(delay_ms / 1000, self.put, message)

    def _schedule(self) -> None:
        if self.handle is None or not self.waiting:
            return
        self.scheduled = True
        self.reactor.callLater(0, self._drain)

    def _drain(self) -> None:
        # Only what waits now is delivered, so that a task that answers
        # itself leaves the reactor time for its sockets.
        for _ in range(len(self.waiting)):
            message = self.waiting.popleft()
            try:
                self.handle(message)
            except Exception as error:
                self.on_error(error, message)
        self.scheduled = False
        self._schedule()


def make_mailbox(
    reactor: interfaces.IReactorTime,
    on_error: Callable[[Exception, Any], None],
) -> Mailbox:
    """Return a mailbox whose handler is set later with `start`."""
    return Mailbox(reactor, on_error)


def make_error_log(
    logger: logbook.Logger,
) -> Callable[[Exception, Any], None]:
    """Return a function that logs a handler's error with its message."""

    def on_error(error: Exception, message: Any) -> None:
        logger.exception(
            'message handler failed',
            extra={'message_type': type(message).__name__},
        )

    return on_error
