"""State of one running query."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_decisions.front import sent_batch


class RunningQuery:
    """A query between its plan and its answer.

    `pending`, `covered` and `missing` partition the shards of the pinned
    version at all times. `attempts` counts requests that endpoints
    received, and `unreported` says whether a batch without a full report
    may have run something.
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
        """Return the covered share of the pinned version's shards."""
        return len(self.covered) / len(self.version.shards)

    def reachable_coverage(self) -> float:
        """Return the coverage if every pending shard were covered."""
        possible = len(self.covered) + len(self.pending)
        return possible / len(self.version.shards)
