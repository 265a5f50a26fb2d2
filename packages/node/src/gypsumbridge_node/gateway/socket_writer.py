"""Direct writes to a connection's socket."""

from typing import Any


class SocketWriter:
    """Writes to a connection's socket immediately and in order.

    A write through the transport registers the socket with the reactor,
    waits until it is writable and unregisters it, which costs several
    system calls. Bytes that the socket does not accept, and all later ones,
    are written through the transport. `buffered_bytes` counts them until
    the owner of the connection knows that they have been sent.
    """

    def __init__(self, transport: Any) -> None:
        self.transport = transport
        self.buffered_bytes = 0

    def write(self, data: bytes) -> None:
        """Write bytes after all earlier ones."""
        written = 0
        if not self.buffered_bytes:
            try:
                written = self.transport.getHandle().send(data)
            except OSError:
                # The buffer is full, or the socket is no longer connected,
                # which the transport reports.
                written = 0
        if written < len(data):
            self.buffered_bytes += len(data) - written
            self.transport.write(data[written:])
