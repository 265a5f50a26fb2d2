"""The server side of a proxied connection."""

from twisted.protocols import portforward

from gypsumbridge_standins.fault_soak import link_forward


class ServerSide(portforward.ProxyClient):
    """Reads responses from the server and forwards them."""

    def connectionMade(self) -> None:
        """Apply the link's faults to responses."""
        self.forward = link_forward.make_forward(
            self, self.peer, link_forward.MODE.CUT_RESPONSES
        )
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:
        """Forward a chunk of a response."""
        self.forward(data)


def make_factory() -> portforward.ProxyClientFactory:
    """Return the factory of one connection."""
    factory = portforward.ProxyClientFactory()
    factory.protocol = ServerSide
    factory.noisy = False
    return factory
