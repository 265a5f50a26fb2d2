"""State of one link."""

from typing import Any

from gypsumbridge_standins.fault_soak import link_mode


class LinkState:
    """The mode of a link and its open connections."""

    def __init__(self) -> None:
        self.mode = link_mode.LinkMode.PASS
        self.connections: set[Any] = set()
