"""State of the task that owns callers' connections."""

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import server_connection


class IngressState:
    """The connection of each call, and the limits in force.

    With `closing`, each connection is closed after its next response.
    `delegation_ids` holds the id that another node has given to each call.
    """

    def __init__(self) -> None:
        self.connections: dict[int, server_connection.ServerConnection] = {}
        self.call_ids: dict[server_connection.ServerConnection, int] = {}
        self.delegation_ids: dict[int, int] = {}
        self.last_call_id = 0
        self.limits = forwarding.IngressLimits()
        self.closing = False

    def end_keep_alive(self) -> None:
        """Close each connection after its next response."""
        self.closing = True
