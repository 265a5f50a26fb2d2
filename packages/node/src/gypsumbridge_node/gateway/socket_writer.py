"""Writing without a turn of the reactor."""

from typing import Any


class SocketWriter:
    """Writes to a connection's socket at once, in order.

    The reactor's own way registers the socket for writing, waits for it and
    removes it again, which costs several system calls. What the socket does
    not take, and everything after it, goes through the transport.
    """

    def __init__(self, transport: Any) -> None:
        self.transport = transport
        # Set once the transport may hold bytes that are not written yet.
        self.buffered = False

    def write(self, data: bytes) -> None:
        """Write bytes after all earlier ones."""
        written = 0
        if not self.buffered:
            try:
                written = self.transport.getHandle().send(data)
            except OSError:
                # Full, or no longer connected, which the transport reports.
                written = 0
        if written < len(data):
            self.buffered = True
            self.transport.write(data[written:])
