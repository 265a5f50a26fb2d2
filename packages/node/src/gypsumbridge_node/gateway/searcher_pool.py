"""The connection pool of one searcher."""

import collections

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import attempt_job
from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import idle_connections


class SearcherPool:
    """Idle and busy connections, and the attempts that wait for one."""

    def __init__(self, searcher: forwarding.Searcher) -> None:
        self.searcher = searcher
        self.idle = idle_connections.IdleConnections()
        self.busy: dict[
            client_connection.ClientConnection, attempt_job.AttemptJob
        ] = {}
        self.opening = 0
        self.waiting: collections.deque[attempt_job.AttemptJob] = (
            collections.deque()
        )

    def size(self) -> int:
        """Return the number of connections that count against the limit."""
        return len(self.idle.connections) + len(self.busy) + self.opening
