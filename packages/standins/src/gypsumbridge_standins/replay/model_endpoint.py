"""An in-memory endpoint."""

import collections
import random
from typing import Any

from gypsumbridge_standins.replay import model_job

# Share of a search's time that varies, exponentially distributed.
VARIABLE_SHARE = 0.3


class ModelEndpoint:
    """Slots, a bounded queue and faults of one endpoint.

    `executed` counts runs by idempotency key; `started` and `completed`
    count searches. `busy_ms` sums the time for which slots were in use, and
    `ends_ms` holds when each running search ends.
    `answers_version` and `answers_shard`, when set, replace the requested
    version and shard in replies. `replies` maps jobs to the functions that
    take their replies. `peak_outstanding` is the maximum of concurrent
    requests, and `peak_by_node` that of each node's requests.
    """

    def __init__(
        self, name: str, slots: int, service_ms: float, queue: int, seed: int
    ) -> None:
        self.name = name
        self.slots = slots
        self.service_ms = service_ms
        self.queue_limit = queue
        self.random = random.Random(f'{seed} {name}')
        self.running: dict[tuple[str, int], model_job.ModelJob] = {}
        self.waiting: collections.deque[model_job.ModelJob] = (
            collections.deque()
        )
        self.replies: dict[model_job.ModelJob, Any] = {}
        self.versions: set[str] = {'v1'}
        self.slowdown = 1.0
        self.down = False
        self.answers_version = ''
        self.answers_shard = ''
        self.draining = False
        self.loses_mutations = False
        self.started = 0
        self.completed = 0
        self.received = 0
        self.shed = 0
        self.busy_ms = 0
        self.peak_outstanding = 0
        self.peak_by_node: dict[str, int] = {}
        self.ends_ms: dict[tuple[str, int], int] = {}
        self.executed: dict[str, int] = {}

    def search_time_ms(self) -> int:
        """Return a random time for one search, at least 1 ms."""
        mean = self.service_ms * self.slowdown
        varied = self.random.expovariate(1.0) * mean * VARIABLE_SHARE
        return max(round(mean * (1 - VARIABLE_SHARE) + varied), 1)

    def outstanding(self) -> int:
        """Return the number of requests that run or wait."""
        return len(self.running) + len(self.waiting)
