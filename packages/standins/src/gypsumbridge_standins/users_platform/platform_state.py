"""State of the platform's stand-in."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_platform import item as items
from gypsumbridge_standins.users_platform import store_copy

RAN = 'ran'
REFUSED = 'refused'


class PlatformState:
    """The store's items and the searchers' faults and runs.

    `history` holds the changes after `oldest_revision`; a watch from an
    earlier revision gets 410. `faults` maps searchers to faults, `runs`
    lists the searchers that ran each request, `customer_headers` the headers
    of key and customer, in any spelling, that reached them with it, and
    `on_event` is called with the request's id, the searcher's, and RAN or
    REFUSED. `era` is stated in
    all responses, unless it is None. While the store is `away`, writes of the
    operator and the searchers wait in `delayed`. `registered` and `sequences`
    hold the state of each searcher's entry and the number of its writes, and
    `operator_entries` what the operator has written, so that they can be
    written again. `slowness` has the factor of each searcher's service time.
    """

    def __init__(
        self, on_event: Callable[[str, str, str], None] = lambda *event: None
    ) -> None:
        self.on_event = on_event
        self.revision = 1
        self.items: dict[str, items.Item] = {}
        self.history: list[items.Item] = []
        self.oldest_revision = 1
        self.outage = False
        self.era: int | None = None
        self.away = False
        self.copy: store_copy.StoreCopy | None = None
        self.delayed: list[tuple[str, str | None]] = []
        self.registered: dict[str, str] = {}
        self.sequences: dict[str, int] = {}
        self.slowness: dict[str, float] = {}
        self.operator_entries: dict[str, str | None] = {}
        self.calls = 0
        self.waiting_watches: list[Any] = []
        self.faults: dict[str, str] = {}
        self.runs: dict[str, list[str]] = {}
        self.customer_headers: dict[str, list[tuple[str, str]]] = {}

    def write(self, key: str, value: str | None) -> None:
        """Store a value, which is in base64, or delete the key if None."""
        if self.away:
            self.delayed.append((key, value))
            return
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            change = items.Item(key, self.revision, deleted=True)
        else:
            change = items.Item(key, self.revision, value)
            self.items[key] = change
        self.history.append(change)
        self.end_watches()

    def end_watches(self) -> None:
        """Respond to the watches that wait for a change."""
        waiting, self.waiting_watches = self.waiting_watches, []
        for finish_watch in waiting:
            finish_watch()

    def compact(self) -> None:
        """Drop the history, so that watches from before get 410."""
        self.history = []
        self.oldest_revision = self.revision
