"""The message queue of a task."""

import collections
from collections.abc import Callable
import dataclasses
from typing import Any
from typing import TypeVar

import logbook
from twisted.internet import interfaces

from gypsumbridge_node import mailbox_scheduler

Mailboxes = TypeVar('Mailboxes')


class Mailbox:
    """Delivers messages to one handler, one at a time and in order.

    When the handler raises an exception, only that message is lost: the
    exception is passed to `on_error` and the next message is handled.
    """

    def __init__(
        self,
        scheduler: mailbox_scheduler.MailboxScheduler,
        on_error: Callable[[Exception, Any], None],
    ) -> None:
        self.scheduler = scheduler
        self.on_error = on_error
        self.waiting: collections.deque[Any] = collections.deque()
        self.handle: Callable[[Any], None] | None = None
        self.scheduled = False

    def start(self, handle: Callable[[Any], None]) -> None:
        """Set the handler and schedule the messages queued so far."""
        self.handle = handle
        self._schedule()

    def put(self, message: Any) -> None:
        """Queue a message; it is handled after those queued before it."""
        self.waiting.append(message)
        if not self.scheduled:
            self._schedule()

    def put_later(self, delay_ms: int, message: Any) -> None:
        """Queue a message after a delay."""
        self.scheduler.reactor.callLater(delay_ms / 1000, self.put, message)

    def deliver(self) -> None:
        """Handle the messages queued now, but none that they add."""
        for _ in range(len(self.waiting)):
            message = self.waiting.popleft()
            try:
                self.handle(message)
            except Exception as error:
                self.on_error(error, message)
        self.scheduled = False
        self._schedule()

    def _schedule(self) -> None:
        if self.handle is None or not self.waiting:
            return
        self.scheduled = True
        self.scheduler.schedule(self)


def make_mailboxes(
    kind: type[Mailboxes],
    reactor: interfaces.IReactorTime,
    on_error: Callable[[Exception, Any], None],
) -> Mailboxes:
    """Return an instance of a data class whose fields are mailboxes."""
    scheduler = mailbox_scheduler.MailboxScheduler(reactor)
    mailboxes = {
        field.name: Mailbox(scheduler, on_error)
        for field in dataclasses.fields(kind)
    }
    return kind(**mailboxes)


def make_error_log(
    logger: logbook.Logger,
) -> Callable[[Exception, Any], None]:
    """Return a function that logs a handler's exception and message type."""

    def on_error(error: Exception, message: Any) -> None:
        logger.exception(
            'message handler failed',
            extra={'message_type': type(message).__name__},
        )

    return on_error
