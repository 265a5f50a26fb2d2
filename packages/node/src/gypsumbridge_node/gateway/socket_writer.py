"""Direct writes to a connection's socket."""

from typing import Any


class SocketWriter:
    """Writes to a connection's socket immediately and in order.

    A write through the transport registers the socket with the reactor,
    waits until it is writable and unregisters it, which costs several
    system calls. Bytes that the socket does not accept, and all later ones,
    are written through the transport.
    """

    def __init__(self, transport: Any) -> None:
        self.transport = transport
        # Set once the transport may hold bytes that were not sent yet.
        self.buffered = False

    def write(self, data: bytes) -> None:
        """Write bytes after all earlier ones."""
        written = 0
        if not self.buffered:
            try:
                written = self.transport.getHandle().send(data)
            except OSError:
                # The buffer is full, or the socket is no longer connected,
                # which the transport reports.
                written = 0
        if written < len(data):
            self.buffered = True
            self.transport.write(data[written:])
