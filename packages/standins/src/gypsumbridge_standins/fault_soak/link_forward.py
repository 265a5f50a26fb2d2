"""Forwards the bytes of one direction of a link."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_standins.fault_soak import link_mode

# Longer than the hedge delays, shorter than the timeouts of the routes.
DELAY_S = 0.2
MODE = link_mode.LinkMode


def make_forward(
    side: Any, client: Any, cut: link_mode.LinkMode
) -> Callable[[bytes], None]:
    """Return a function that forwards bytes from one side to the other.

    `client` is the client side. A direction that has lost bytes forwards
    no later ones, since a TCP stream has no gaps.
    """
    state = client.factory.state
    reactor = client.reactor
    lost = False
    due_s = 0.0

    def forward(data: bytes) -> None:
        nonlocal lost, due_s
        lost = lost or client.silent or state.mode is cut
        if lost:
            return
        now_s = reactor.seconds()
        delay_s = DELAY_S if state.mode is MODE.DELAY else 0.0
        # A chunk must not overtake an earlier one that is still delayed.
        due_s = max(now_s + delay_s, due_s)
        if due_s <= now_s:
            write(data)
            return
        due_s += 1e-6
        reactor.callLater(due_s - now_s, write, data)

    def write(data: bytes) -> None:
        if side.peer is None or side.peer.transport is None:
            return
        side.peer.transport.write(data)
        if side is client:
            state.on_forward(data)

    return forward
