"""Connections to one server and the calls that use them."""

from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import idle_connections
from gypsumbridge_node.gateway import pending_call
from gypsumbridge_node.gateway import runtime as runtimes


class ApiClientState:
    """Idle connections, and the call in flight on each busy one.

    `name` is the prefix of the metrics' names, `address` is `ip:port`.
    """

    def __init__(
        self, runtime: runtimes.GatewayRuntime, name: str, address: str
    ) -> None:
        self.runtime = runtime
        self.name = name
        self.address = address
        self.budget = runtime.resources.budget
        self.idle = idle_connections.IdleConnections()
        self.running: dict[
            client_connection.ClientConnection, pending_call.PendingCall
        ] = {}
