"""Connections to one server's interface and the calls that use them."""

from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import idle_connections
from gypsumbridge_node.gateway import pending_call
from gypsumbridge_node.gateway import runtime as runtimes


class ApiClientState:
    """Idle connections, and the call that each busy one carries.

    `name` begins the names of the metrics, `address` is `ip:port`.
    """

    def __init__(
        self, runtime: runtimes.GatewayRuntime, name: str, address: str
    ) -> None:
        self.runtime = runtime
        self.name = name
        self.address = address
        self.idle = idle_connections.IdleConnections()
        self.running: dict[
            client_connection.ClientConnection, pending_call.PendingCall
        ] = {}
