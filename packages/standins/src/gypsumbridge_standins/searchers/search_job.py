"""A search or mutation at a searcher stand-in."""

from typing import Any


class SearchJob:
    """A request from its arrival to its reply.

    `connect_ms` is the added time of the first request of a connection, and
    0 for later ones. `key` is the idempotency key of a mutation, empty for
    a search.
    """

    def __init__(
        self,
        request: Any,
        shard: str,
        version: str,
        key: str,
        body: Any,
        connect_ms: int,
    ) -> None:
        self.request = request
        self.shard = shard
        self.version = version
        self.key = key
        self.body = body
        self.connect_ms = connect_ms
        self.running = False
        self.done = False
        self.timer: Any = None
