"""State of one link."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_standins.fault_soak import link_mode


class LinkState:
    """The mode of a link and its open connections.

    `on_pass` is called with bytes of a client that a server's connection
    has taken.
    """

    def __init__(
        self, on_pass: Callable[[bytes], None] = lambda data: None
    ) -> None:
        self.on_pass = on_pass
        self.mode = link_mode.LinkMode.PASS
        self.connections: set[Any] = set()
