"""Keys, revisions, watchers and faults of the stand-in store."""

import collections
from typing import Any

MAX_VALUE_BYTES = 1024 * 1024
# Events kept for watches; a client whose watch starts before the oldest one
# has to list the keys again.
HISTORY_LENGTH = 10_000


class StoreState:
    """The store's keys, revisions, leases and watchers, and its faults.

    `slow_ms` delays every reply, `outage` refuses every call, and
    `lose_replies` is the number of next writes that are applied without a
    reply. `calls` counts calls by operation. `leases` maps a lease to its
    timer and time to live in ms, `lease_keys` to the keys bound to it.
    `compacted_revision` is the newest revision missing from `events`.
    """

    def __init__(self, reads_per_second: int, writes_per_second: int) -> None:
        self.items: dict[str, tuple[str, int]] = {}
        self.revision = 0
        self.events: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=HISTORY_LENGTH
        )
        self.compacted_revision = 0
        self.watchers: list[Any] = []
        self.leases: dict[int, tuple[Any, int]] = {}
        self.lease_keys: dict[int, set[str]] = {}
        self.last_lease_id = 0
        self.outage = False
        self.slow_ms = 0
        self.lose_replies = 0
        self.calls: dict[str, int] = {}
        self.limits = {'read': reads_per_second, 'write': writes_per_second}
        self.window_started_s = 0
        self.window_calls: dict[str, int] = {}

    def add_event(self, key: str, value: str | None) -> None:
        """Add an event for the current revision."""
        if len(self.events) == HISTORY_LENGTH:
            self.compacted_revision = self.events[0]['revision']
        self.events.append(
            {'key': key, 'value': value, 'revision': self.revision}
        )
