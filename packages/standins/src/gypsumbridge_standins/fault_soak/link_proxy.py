"""A loopback proxy whose connections can be disturbed."""

from collections.abc import Callable
from typing import Any

from twisted.protocols import portforward

from gypsumbridge_standins.fault_soak import link_mode
from gypsumbridge_standins.fault_soak import link_state

# Longer than the hedge delays, shorter than the time-outs of the routes.
DELAY_S = 0.2
MODE = link_mode.LinkMode


class ServerSide(portforward.ProxyClient):
    """The half towards the server; reads responses."""

    def connectionMade(self) -> None:
        """Take part in the link's faults."""
        self.forward = make_forward(self, MODE.CUT_RESPONSES)
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:
        """Pass a piece of a response on."""
        self.forward(data)


class ServerSideFactory(portforward.ProxyClientFactory):
    """Makes the halves towards the server."""

    protocol = ServerSide
    noisy = False


class ClientSide(portforward.ProxyServer):
    """The half towards the client; reads requests."""

    clientProtocolFactory = ServerSideFactory

    def connectionMade(self) -> None:
        """Connect to the server, unless the link resets connections."""
        self.silent = False
        self.forward = make_forward(self, MODE.CUT_REQUESTS)
        if self.factory.state.mode is MODE.RESET:
            self.transport.abortConnection()
            return
        self.factory.state.connections.add(self)
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:
        """Pass a piece of a request on."""
        self.forward(data)

    def connectionLost(self, reason: Any) -> None:
        """End the other half, too."""
        self.factory.state.connections.discard(self)
        super().connectionLost(reason)


def make_forward(half: Any, cut: link_mode.LinkMode) -> Callable[..., None]:
    """Return a function that passes bytes to the other half.

    A direction that has lost bytes passes no later ones, as they would
    not be what the sender's stream holds there.
    """
    lost = False
    due_s = 0.0

    def forward(data: bytes) -> None:
        nonlocal lost, due_s
        client = half if isinstance(half, ClientSide) else half.peer
        if client is None or half.peer is None:
            return
        mode = client.factory.state.mode
        lost = lost or client.silent or mode is cut
        if lost:
            return
        reactor = client.reactor
        now_s = reactor.seconds()
        delay_s = DELAY_S if mode is MODE.DELAY else 0.0
        # Never before a piece that was delayed earlier.
        due_s = max(now_s + delay_s, due_s)
        if due_s <= now_s:
            write(data)
            return
        due_s += 1e-6
        reactor.callLater(due_s - now_s, write, data)

    def write(data: bytes) -> None:
        if half.peer is None or half.peer.transport is None:
            return
        half.peer.transport.write(data)
        if isinstance(half, ClientSide):
            half.factory.state.on_pass(data)

    return forward


def set_mode(state: link_state.LinkState, mode: link_mode.LinkMode) -> None:
    """Put a mode in force, on the open connections too."""
    state.mode = mode
    for connection in tuple(state.connections):
        if mode is MODE.RESET:
            connection.transport.abortConnection()
        if mode is MODE.SILENCE:
            connection.silent = True


def listen(
    reactor: Any, port: int, target: int, state: link_state.LinkState
) -> None:
    """Forward connections at a loopback port to another one.

    Ports that share a state are disturbed together.
    """
    factory = portforward.ProxyFactory('127.0.0.1', target)
    factory.protocol = ClientSide
    factory.noisy = False
    factory.state = state
    reactor.listenTCP(port, factory, interface='127.0.0.1')
