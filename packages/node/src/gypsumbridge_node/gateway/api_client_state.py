"""Connections to one server and the calls that use them."""

from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import idle_connections
from gypsumbridge_node.gateway import pending_call
from gypsumbridge_node.gateway import runtime as runtimes


class ApiClientState:
    """Idle connections, and the call in flight on each busy one.

    `name` is the prefix of the metrics' names, `address` is `ip:port`. A
    connection that has been idle for `max_idle_ms` is not used again; None
    leaves that to the server. A longer body than `max_body_bytes` closes the
    connection.
    """

    def __init__(
        self,
        runtime: runtimes.GatewayRuntime,
        name: str,
        address: str,
        max_idle_ms: int | None = None,
        max_body_bytes: int = client_connection.MAX_BODY_BYTES,
    ) -> None:
        self.runtime = runtime
        self.name = name
        self.address = address
        self.max_idle_ms = max_idle_ms
        self.max_body_bytes = max_body_bytes
        self.budget = runtime.resources.budget
        self.idle = idle_connections.IdleConnections()
        self.running: dict[
            client_connection.ClientConnection, pending_call.PendingCall
        ] = {}
