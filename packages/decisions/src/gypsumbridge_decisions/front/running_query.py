"""State of one running query."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_decisions.front import sent_batch


class RunningQuery:
    """A query that has been planned and not yet answered.

    `pending`, `covered` and `missing` always partition the shards of the
    pinned version. `batches` maps attempt numbers to the batches sent, and
    `attempts` counts the requests to endpoints that owners reported. A batch
    with unreported shards may have run further requests.
    """

    def __init__(
        self,
        query: messages.Query,
        service: resources.Service,
        version: resources.IndexVersion,
        started_ms: int,
        admission_key: float,
    ) -> None:
        self.query = query
        self.service = service
        self.version = version
        self.started_ms = started_ms
        self.deadline_at_ms = started_ms + query.deadline_ms
        self.admission_key = admission_key
        self.pending: set[str] = set(version.shards)
        self.covered: dict[str, messages.Part] = {}
        self.missing: dict[str, messages.MissingReason] = {}
        self.batches: dict[int, sent_batch.SentBatch] = {}
        self.attempts = 0
        self.next_attempt = 1
        self.restarted = False
        self.early_timer_passed = False

    def coverage(self) -> float:
        """Return the share of the pinned version's shards that is covered."""
        return len(self.covered) / len(self.version.shards)

    def reachable_coverage(self) -> float:
        """Return the coverage that is possible with all pending shards."""
        possible = len(self.covered) + len(self.pending)
        return possible / len(self.version.shards)
