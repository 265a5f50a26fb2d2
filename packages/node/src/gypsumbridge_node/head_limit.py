"""A limit on the heads of responses that Twisted's client reads."""

from typing import Any

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.protocols import policies
from zope import interface

# Twisted limits the length of a line, but not the number of lines.
MAX_HEAD_BYTES = 64 * 1_024
_BLANK_LINES = (b'\r\n\r\n', b'\n\n')
_OVERLAP = 3


class HeadLimit(policies.ProtocolWrapper):
    """Aborts a connection whose response has a longer head.

    Each request that is written starts the count again. After the first
    blank line the bytes belong to a body, which its reader limits.
    """

    in_head = False
    head_bytes = 0
    tail = b''

    def write(self, data: bytes) -> None:
        """Send a piece of a request."""
        self._begin()
        super().write(data)

    def writeSequence(self, data: Any) -> None:
        """Send pieces of a request."""
        self._begin()
        super().writeSequence(data)

    def dataReceived(self, data: bytes) -> None:
        """Count the bytes of a head, and pass them on."""
        if self.in_head:
            seen = self.tail + data
            self.tail = seen[-_OVERLAP:]
            self.head_bytes += len(data)
            if any(line in seen for line in _BLANK_LINES):
                self.in_head = False
            elif self.head_bytes > MAX_HEAD_BYTES:
                self.transport.abortConnection()
                return
        super().dataReceived(data)

    def _begin(self) -> None:
        self.in_head = True
        self.head_bytes = 0
        self.tail = b''


@interface.implementer(interfaces.IStreamClientEndpoint)
class _LimitedEndpoint:
    """Connects through an endpoint, with a limit on heads."""

    def __init__(self, endpoint: Any) -> None:
        self.endpoint = endpoint

    def connect(self, factory: Any) -> 'defer.Deferred[Any]':
        """Return a Deferred that fires with the factory's protocol."""
        wrapping = policies.WrappingFactory(factory)
        wrapping.protocol = HeadLimit
        wrapping.noisy = False
        opened = self.endpoint.connect(wrapping)
        return opened.addCallback(lambda found: found.wrappedProtocol)


def limit_heads(endpoint: Any) -> Any:
    """Return an endpoint whose connections limit the heads of responses."""
    return _LimitedEndpoint(endpoint)
