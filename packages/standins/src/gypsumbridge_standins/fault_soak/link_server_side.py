"""The half of a proxied connection towards the server."""

from twisted.protocols import portforward

from gypsumbridge_standins.fault_soak import link_forward


class ServerSide(portforward.ProxyClient):
    """Reads responses."""

    def connectionMade(self) -> None:
        """Take part in the link's faults."""
        self.forward = link_forward.make_forward(
            self, self.peer, link_forward.MODE.CUT_RESPONSES
        )
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:
        """Pass a piece of a response on."""
        self.forward(data)


def make_factory() -> portforward.ProxyClientFactory:
    """Return the factory of one connection."""
    factory = portforward.ProxyClientFactory()
    factory.protocol = ServerSide
    factory.noisy = False
    return factory
