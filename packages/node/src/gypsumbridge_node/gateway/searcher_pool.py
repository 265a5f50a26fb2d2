"""The connection pool of one searcher."""

import collections

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import attempt_job
from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import idle_connections


class SearcherPool:
    """Idle and busy connections, and the attempts that wait for one.

    A searcher that is `leaving`, or wants no requests before
    `closed_until_ms`, has said so in an answer.
    """

    def __init__(self, searcher: forwarding.Searcher) -> None:
        self.searcher = searcher
        self.idle = idle_connections.IdleConnections()
        self.busy: dict[
            client_connection.ClientConnection, attempt_job.AttemptJob
        ] = {}
        self.opening = 0
        # Set when a connection was opened in advance, until one is used or
        # lost in another way than by the searcher's idle timeout.
        self.warmed = False
        self.leaving = False
        self.closed_until_ms = 0
        self.waiting: collections.deque[attempt_job.AttemptJob] = (
            collections.deque()
        )

    def is_closed(self, now_ms: int) -> bool:
        """Return whether the searcher wants no connections now."""
        return self.leaving or now_ms < self.closed_until_ms

    def size(self) -> int:
        """Return the number of connections that count against the limit."""
        return len(self.idle.connections) + len(self.busy) + self.opening
