"""The client side of a proxied connection."""

from typing import Any

from twisted.protocols import portforward

from gypsumbridge_standins.fault_soak import link_forward
from gypsumbridge_standins.fault_soak import link_server_side


class ClientSide(portforward.ProxyServer):
    """Reads requests from the client and forwards them."""

    clientProtocolFactory = staticmethod(link_server_side.make_factory)

    def connectionMade(self) -> None:
        """Connect to the server, unless the link resets connections."""
        self.silent = False
        state = self.factory.state
        if state.mode is link_forward.MODE.RESET:
            self.transport.abortConnection()
            return
        state.connections.add(self)
        super().connectionMade()
        self.forward = link_forward.make_forward(
            self, self, link_forward.MODE.CUT_REQUESTS
        )

    def dataReceived(self, data: bytes) -> None:
        """Forward a chunk of a request."""
        self.forward(data)

    def connectionLost(self, reason: Any) -> None:
        """Close the server side, too."""
        self.factory.state.connections.discard(self)
        super().connectionLost(reason)
