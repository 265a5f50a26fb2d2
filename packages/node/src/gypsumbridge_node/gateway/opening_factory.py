"""Opens one connection to a server."""

from typing import Any

from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure


class OpeningFactory(protocol.ClientFactory):
    """Passes one connection to Twisted, and reports whether it was opened.

    `opened` fires with the connection, or fails. Unlike
    `protocol.ClientCreator`, it keeps no reference to an open connection,
    so that a closed one is freed without the cyclic collector.
    """

    noisy = False

    def __init__(self, reactor: Any, connection: protocol.Protocol) -> None:
        self.reactor = reactor
        self.connection: protocol.Protocol | None = connection
        self.opened: defer.Deferred[Any] | None = defer.Deferred()

    def buildProtocol(self, address: Any) -> protocol.Protocol | None:
        """Return the connection, and report it once it has a transport."""
        connection, self.connection = self.connection, None
        self._report(connection)
        return connection

    def clientConnectionFailed(
        self, connector: Any, reason: failure.Failure
    ) -> None:
        """Report that the connection was not opened."""
        self.connection = None
        self._report(reason)

    def clientConnectionLost(
        self, connector: Any, reason: failure.Failure
    ) -> None:
        """Remove the reference of Twisted's connector to its transport."""
        connector.transport = None

    def _report(self, result: Any) -> None:
        opened, self.opened = self.opened, None
        self.reactor.callLater(0, opened.callback, result)
