"""Flow control of the responses on a connection."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_node.gateway import socket_writer


def ignore_room() -> None:
    """Ignore that there is room again."""


class WriteFlow:
    """Shows whether the peer reads what has been written.

    It is `blocked` while the transport has bytes that the socket did not
    accept; `on_room` is called when they have been sent. The methods are
    those of a pull producer, which Twisted calls.
    """

    def __init__(
        self,
        transport: Any,
        writer: socket_writer.SocketWriter,
        on_room: Callable[[], None],
    ) -> None:
        self.transport = transport
        self.writer = writer
        self.ended = False
        # Twisted calls `resumeProducing` once when a producer is registered.
        self.on_room = ignore_room
        transport.registerProducer(self, False)
        self.on_room = on_room

    @property
    def blocked(self) -> bool:
        """Return whether bytes wait for the peer to read."""
        return self.writer.buffered_bytes > 0

    def end(self) -> None:
        """Let the transport send its buffer and close."""
        if self.ended:
            return
        self.ended = True
        self.on_room = ignore_room
        self.transport.unregisterProducer()

    def pauseProducing(self) -> None:
        """Do nothing; the writer knows what the socket did not accept."""

    def resumeProducing(self) -> None:
        """Record that the buffer has been sent."""
        self.writer.buffered_bytes = 0
        self.on_room()
        if self.transport.disconnecting:
            # Twisted waits for a producer before it closes a connection.
            self.end()

    def stopProducing(self) -> None:
        """Do nothing; the connection reports its own end."""
