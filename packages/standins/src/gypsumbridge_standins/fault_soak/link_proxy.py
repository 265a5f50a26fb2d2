"""A loopback proxy that injects faults into its connections."""

from typing import Any

from twisted.protocols import portforward

from gypsumbridge_standins.fault_soak import link_client_side
from gypsumbridge_standins.fault_soak import link_mode
from gypsumbridge_standins.fault_soak import link_state

MODE = link_mode.LinkMode


def set_mode(state: link_state.LinkState, mode: link_mode.LinkMode) -> None:
    """Set the mode of a link, also for its open connections."""
    state.mode = mode
    for connection in tuple(state.connections):
        if mode is MODE.RESET:
            connection.transport.abortConnection()
        if mode is MODE.SILENCE:
            connection.silent = True


def listen(
    reactor: Any, port: int, target: int, state: link_state.LinkState
) -> None:
    """Forward connections at a loopback port to the target port.

    Ports that share a state share the link's faults.
    """
    factory = portforward.ProxyFactory('127.0.0.1', target)
    factory.protocol = link_client_side.ClientSide
    factory.noisy = False
    factory.state = state
    reactor.listenTCP(port, factory, interface='127.0.0.1')
