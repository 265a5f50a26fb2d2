"""Keys, revisions, watchers and faults of the stand-in store."""

import collections
from typing import Any

MAX_VALUE_BYTES = 1024 * 1024
# Events kept for watchers; a watch from before them must list again.
HISTORY_LENGTH = 10_000


class StoreState:
    """Everything the store knows; `faults` is what a test has ordered.

    `slow_ms` delays every reply, `outage` refuses every call, and
    `lose_replies` is the number of writes still to be applied without a
    reply. `calls` counts calls by operation. `leases` maps a lease to its
    timer and time to live, `lease_keys` to the keys bound to it.
    """

    def __init__(self, reads_per_second: int, writes_per_second: int) -> None:
        self.items: dict[str, tuple[str, int]] = {}
        self.revision = 0
        self.events: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=HISTORY_LENGTH
        )
        self.compacted = 0
        self.watchers: list[Any] = []
        self.leases: dict[int, tuple[Any, int]] = {}
        self.lease_keys: dict[int, set[str]] = {}
        self.last_lease = 0
        self.outage = False
        self.slow_ms = 0
        self.lose_replies = 0
        self.calls: dict[str, int] = {}
        self.limits = {'read': reads_per_second, 'write': writes_per_second}
        self.window_started_s = 0
        self.window_calls: dict[str, int] = {}

    def record(self, key: str, value: str | None) -> None:
        """Add an event for the present revision."""
        if len(self.events) == HISTORY_LENGTH:
            self.compacted = self.events[0]['revision']
        self.events.append(
            {'key': key, 'value': value, 'revision': self.revision}
        )
