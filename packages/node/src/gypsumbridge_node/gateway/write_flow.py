"""Flow control of the responses on a connection."""

from collections.abc import Callable
from typing import Any


def ignore_room() -> None:
    """Ignore that there is room again."""


class WriteFlow:
    """Shows whether the peer reads what has been written.

    It is `blocked` while the transport's buffer is over its limit; `on_room`
    is called when the buffer has been sent. The methods are those of a
    producer, which Twisted calls.
    """

    def __init__(self, transport: Any, on_room: Callable[[], None]) -> None:
        self.transport = transport
        self.on_room = on_room
        self.blocked = False
        self.ended = False
        transport.registerProducer(self, True)

    def end(self) -> None:
        """Let the transport send its buffer and close."""
        if self.ended:
            return
        self.ended = True
        self.on_room = ignore_room
        self.transport.unregisterProducer()

    def pauseProducing(self) -> None:
        """Record that the buffer is over its limit."""
        self.blocked = True

    def resumeProducing(self) -> None:
        """Record that the buffer has been sent."""
        self.blocked = False
        self.on_room()

    def stopProducing(self) -> None:
        """Do nothing; the connection reports its own end."""
