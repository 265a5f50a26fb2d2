"""What a link does with bytes of one direction."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_standins.fault_soak import link_mode

# Longer than the hedge delays, shorter than the time-outs of the routes.
DELAY_S = 0.2
MODE = link_mode.LinkMode


def make_forward(
    half: Any, client: Any, cut: link_mode.LinkMode
) -> Callable[[bytes], None]:
    """Return a function that passes bytes of a half to the other one.

    `client` is the half towards the client. A direction that has lost
    bytes passes no later ones, as they would not be what the sender's
    stream holds there.
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
        if half is client:
            state.on_pass(data)

    return forward
