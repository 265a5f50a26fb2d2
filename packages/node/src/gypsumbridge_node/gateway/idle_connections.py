"""Idle connections to one server."""

from gypsumbridge_node.gateway import client_connection


class IdleConnections:
    """Holds idle connections in the order in which they were last used."""

    def __init__(self) -> None:
        self.connections: list[client_connection.ClientConnection] = []

    def add(
        self, connection: client_connection.ClientConnection, now_ms: int
    ) -> None:
        """Add a connection that has become idle."""
        connection.idle_since_ms = now_ms
        self.connections.append(connection)

    def checkout(
        self, now_ms: int, max_idle_ms: int | None = None
    ) -> client_connection.ClientConnection | None:
        """Remove and return the connection that was used last, or None.

        Connections that the server has closed or is about to close are
        closed. One that has been idle for `max_idle_ms` is not returned.
        """
        while self.connections:
            found = self.connections[-1]
            if not found.is_usable(now_ms):
                self.connections.pop().close()
                continue
            idle_ms = now_ms - found.idle_since_ms
            if max_idle_ms is not None and idle_ms >= max_idle_ms:
                return None
            return self.connections.pop()
        return None

    def put_back(self, connection: client_connection.ClientConnection) -> None:
        """Return a connection that was checked out and not used."""
        self.connections.append(connection)

    def discard(self, connection: client_connection.ClientConnection) -> None:
        """Remove a connection that was closed, if it is idle."""
        if connection in self.connections:
            self.connections.remove(connection)

    def close_oldest(self) -> None:
        """Close the connection that has been idle longest, if any."""
        if self.connections:
            self.connections.pop(0).close()

    def close_all(self) -> None:
        """Close all idle connections."""
        while self.connections:
            self.close_oldest()
