"""The open connections of all ports and pools, and a limit on them."""

from typing import Any

# Descriptors that the operators reserve for files.
RESERVED_FDS = 200
# The rest is for connections that this process opens itself.
ACCEPTED_SHARE = 0.75
# Closing some at a time keeps the search for them rare.
LOW_SHARE = 0.95
MIN_CONNECTIONS = 16


class OpenConnections:
    """Closes accepted connections over a limit, the least used first.

    Those without an answered request come first, then those that have waited
    longest for their next request. One whose request is in progress is not
    closed; if there is no other, the newest one is. `outbound` counts the
    connections to searchers, which may be opened while all of them together
    are fewer than the descriptors.
    """

    def __init__(self, limit: int, max_fds: int) -> None:
        self.limit = limit
        self.max_fds = max_fds
        self.connections: dict[Any, None] = {}
        self.outbound = 0

    def add(self, connection: Any, descriptor: int) -> None:
        """Add a new connection, closing others or it over a limit.

        The system assigns the lowest free `descriptor`, so its number is
        that of all which are open, also for connections to other servers.
        """
        self.connections[connection] = None
        count = len(self.connections)
        low_count = int(LOW_SHARE * self.limit)
        if count > self.limit:
            surplus = count - low_count
        elif descriptor >= self.max_fds:
            surplus = self.limit - low_count
        else:
            return
        found = [each for each in self.connections if each.is_closable()]
        # The sort is stable, so the oldest of equal ones come first.
        found.sort(key=lambda each: each.use_order())
        closed = found[:surplus] or [connection]
        for each in closed:
            del self.connections[each]
            each.abort('descriptors')

    def can_open(self) -> bool:
        """Return whether there is a descriptor for another server."""
        return len(self.connections) + self.outbound < self.max_fds

    def discard(self, connection: Any) -> None:
        """Remove a connection that was closed."""
        self.connections.pop(connection, None)


def make_open_connections(max_fds: int) -> OpenConnections:
    """Return the open connections of a process with these descriptors."""
    free_fds = max(MIN_CONNECTIONS, max_fds - RESERVED_FDS)
    return OpenConnections(
        max(MIN_CONNECTIONS, int(free_fds * ACCEPTED_SHARE)), free_fds
    )
