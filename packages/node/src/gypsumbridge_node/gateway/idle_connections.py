"""Connections to a server that wait for their next request."""

from gypsumbridge_node.gateway import client_connection


class IdleConnections:
    """Kept in the order in which they were last used."""

    def __init__(self) -> None:
        self.connections: list[client_connection.ClientConnection] = []

    def keep(
        self, connection: client_connection.ClientConnection, now_ms: int
    ) -> None:
        """Add a connection that has become free."""
        connection.idle_since_ms = now_ms
        self.connections.append(connection)

    def take(
        self, now_ms: int, max_idle_ms: int | None = None
    ) -> client_connection.ClientConnection | None:
        """Return the connection that was used last, or None.

        Connections that the server has closed, or soon will, are ended.
        With `max_idle_ms`, one that was idle for as long is not taken.
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

    def discard(self, connection: client_connection.ClientConnection) -> None:
        """Forget a connection that has ended, if it is kept here."""
        if connection in self.connections:
            self.connections.remove(connection)

    def close_oldest(self) -> None:
        """End the connection that has been idle longest, if there is one."""
        if self.connections:
            self.connections.pop(0).close()

    def close_all(self) -> None:
        """End all of them."""
        while self.connections:
            self.close_oldest()
