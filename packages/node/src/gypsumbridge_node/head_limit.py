"""Limits on the heads of responses that Twisted's client reads."""

from typing import Any

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.protocols import policies
from zope import interface

from gypsumbridge_node import head_scan


class HeadLimit(policies.ProtocolWrapper):
    """Aborts a connection whose response has a head that is not accepted.

    Each request that is written starts the scan again. What follows the head
    of a final response is a body, which its reader limits.
    """

    scan: head_scan.HeadScan | None = None

    def write(self, data: bytes) -> None:
        """Send a piece of a request."""
        self.scan = head_scan.HeadScan()
        super().write(data)

    def writeSequence(self, data: Any) -> None:
        """Send pieces of a request."""
        self.scan = head_scan.HeadScan()
        super().writeSequence(data)

    def dataReceived(self, data: bytes) -> None:
        """Check the bytes of a head, and pass them on."""
        if self.scan is not None and not self.scan.accept(data):
            self.transport.abortConnection()
            return
        super().dataReceived(data)


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
