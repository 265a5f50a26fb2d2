"""A query at a node of a baseline."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources


class ClientQuery:
    """A running query: its pending shards, parts and missing shards.

    `tried` lists the endpoints to which each shard was sent.
    """

    def __init__(
        self,
        query: messages.Query,
        service: resources.Service,
        urgency: int,
        started_ms: int,
    ) -> None:
        self.query = query
        self.service = service
        self.version = service.versions[0]
        self.urgency = urgency
        self.started_ms = started_ms
        self.deadline_at_ms = started_ms + query.deadline_ms
        self.pending: set[str] = set(self.version.shards)
        self.covered: dict[str, messages.Part] = {}
        self.missing: dict[str, messages.MissingReason] = {}
        self.tried: dict[str, list[str]] = {}
        self.running: dict[int, str] = {}
        self.attempts = 0
        self.early_passed = False
        self.done = False
