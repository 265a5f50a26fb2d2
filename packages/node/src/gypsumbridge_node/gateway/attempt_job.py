"""State of one attempt at its searcher's connections."""

from typing import Any

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import client_connection


class AttemptJob:
    """An attempt that waits for a connection or for its response.

    `linger` is the timer that ends an attempt whose response is no longer
    needed.
    """

    def __init__(self, order: forwarding.SendAttempt, now_ms: int) -> None:
        self.order = order
        self.ordered_ms = now_ms
        self.connection: client_connection.ClientConnection | None = None
        self.linger: Any = None
