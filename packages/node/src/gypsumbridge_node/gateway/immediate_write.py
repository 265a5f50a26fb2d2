"""Writing without a turn of the reactor."""

from typing import Any


def write(transport: Any, data: bytes) -> bool:
    """Write to a transport that has nothing waiting to be written.

    The reactor's own way registers the socket for writing, waits for it and
    removes it again, which costs several system calls. Returns whether all
    was written; if not, the transport writes the rest.
    """
    try:
        written = transport.getHandle().send(data)
    except OSError:
        # Full, or no longer connected, which the transport reports.
        written = 0
    if written < len(data):
        transport.write(data[written:])
        return False
    return True
