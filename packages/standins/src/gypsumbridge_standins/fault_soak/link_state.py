"""State of one link."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_standins.fault_soak import link_mode


class LinkState:
    """The mode of a link and its open connections.

    `on_forward` is called with a client's bytes once they are written to
    the server's connection.
    """

    def __init__(
        self, on_forward: Callable[[bytes], None] = lambda data: None
    ) -> None:
        self.on_forward = on_forward
        self.mode = link_mode.LinkMode.PASS
        self.connections: set[Any] = set()
