"""State of one attempt in the task that owns the searchers' connections."""

from typing import Any

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import client_connection


class AttemptJob:
    """An attempt that waits for a connection or for its response.

    `grace_timer` ends a cancelled attempt; it is None for any other.
    """

    def __init__(self, command: forwarding.SendAttempt, now_ms: int) -> None:
        self.command = command
        self.created_ms = now_ms
        self.connection: client_connection.ClientConnection | None = None
        self.grace_timer: Any = None
