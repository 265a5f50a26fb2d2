"""The connections to one searcher."""

import collections

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import attempt_job
from gypsumbridge_node.gateway import client_connection


class SearcherPool:
    """Idle and busy connections, and the attempts that wait for one."""

    def __init__(self, searcher: forwarding.Searcher) -> None:
        self.searcher = searcher
        self.idle: list[client_connection.ClientConnection] = []
        self.busy: dict[
            client_connection.ClientConnection, attempt_job.AttemptJob
        ] = {}
        self.opening = 0
        self.waiting: collections.deque[attempt_job.AttemptJob] = (
            collections.deque()
        )

    def size(self) -> int:
        """Return the connections that count against the limit."""
        return len(self.idle) + len(self.busy) + self.opening

    def take_idle(
        self, now_ms: int, max_idle_ms: int | None
    ) -> client_connection.ClientConnection | None:
        """Return the connection that was used last, or None.

        Connections that the server has closed, or soon will, are ended.
        With `max_idle_ms`, one that was idle for longer is not taken.
        """
        while self.idle:
            found = self.idle.pop()
            if not found.is_usable(now_ms):
                found.close()
                continue
            idle_ms = now_ms - found.idle_since_ms
            if max_idle_ms is not None and idle_ms > max_idle_ms:
                found.close()
                continue
            return found
        return None
