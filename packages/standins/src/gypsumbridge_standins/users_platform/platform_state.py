"""State of the platform's stand-in."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_platform import item as items


class PlatformState:
    """The store's items, and what searchers are told to do and have done.

    `history` holds every change; a watch from before its first one gets
    410. `faults` names a fault for a searcher, `runs` lists the searchers
    that ran each request, and `on_run` is called with the request's id and
    the searcher's.
    """

    def __init__(
        self, on_run: Callable[[str, str], None] = lambda *run: None
    ) -> None:
        self.on_run = on_run
        self.revision = 1
        self.items: dict[str, items.Item] = {}
        self.history: list[items.Item] = []
        self.oldest_revision = 1
        self.outage = False
        self.calls = 0
        self.watchers: list[Any] = []
        self.faults: dict[str, str] = {}
        self.runs: dict[str, list[str]] = {}

    def write(self, key: str, value: str | None) -> None:
        """Store a value in base64, or delete the key."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            change = items.Item(key, self.revision, deleted=True)
        else:
            change = items.Item(key, self.revision, value)
            self.items[key] = change
        self.history.append(change)
        watchers, self.watchers = self.watchers, []
        for wake in watchers:
            wake()

    def compact(self) -> None:
        """Forget the history."""
        self.history = []
        self.oldest_revision = self.revision
