"""Connections to the store and the calls that use them."""

from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import idle_connections
from gypsumbridge_node.gateway import pending_call
from gypsumbridge_node.gateway import runtime as runtimes


class StoreClientState:
    """Idle connections, and the call that each busy one carries."""

    def __init__(self, runtime: runtimes.GatewayRuntime) -> None:
        self.runtime = runtime
        self.store_address = runtime.settings.discovery.store_address
        self.idle = idle_connections.IdleConnections()
        self.running: dict[
            client_connection.ClientConnection, pending_call.PendingCall
        ] = {}
