"""A shard call or mutation between its arrival and its result."""

from gypsumbridge_decisions.owner import call_key


class PendingCall:
    """A shard call or mutation at its owner.

    `key` identifies the sender that gets the result. `running` maps the
    call ids of requests in flight to endpoint names, and `tried` lists
    every endpoint to which a request was sent. `started_ms` is the start of
    the latest request. An empty `idempotency_key` denotes a search.
    """

    def __init__(
        self,
        key: call_key.CallKey,
        replica_set: tuple[str, str],
        version: str,
        rank: str,
        caller: str,
        body: bytes,
        idempotency_key: str,
        arrived_ms: int,
        deadline_at_ms: int,
    ) -> None:
        self.key = key
        self.replica_set = replica_set
        self.version = version
        self.rank = rank
        self.caller = caller
        self.body = body
        self.idempotency_key = idempotency_key
        self.arrived_ms = arrived_ms
        self.deadline_at_ms = deadline_at_ms
        self.running: dict[int, str] = {}
        self.tried: list[str] = []
        self.started_ms = arrived_ms
        self.queued = False
        self.done = False

    def is_mutation(self) -> bool:
        """Return whether the call must run at most once."""
        return bool(self.idempotency_key)
