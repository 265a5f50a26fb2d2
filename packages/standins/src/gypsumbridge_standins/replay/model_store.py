"""The configuration store in memory."""

from collections.abc import Callable

from gypsumbridge_decisions import messages
from gypsumbridge_standins.store import store_state

UNLIMITED = 10**9
Watcher = tuple[messages.StoreRequest, Callable[[], None]]


class ModelStore:
    """Keys and faults of the store.

    `slow_ms` is the most by which a request and a reply are each delayed,
    `lost_replies` the share of writes that are applied without a reply,
    and `cut` the nodes that cannot reach it.
    """

    def __init__(self) -> None:
        self.state = store_state.StoreState(UNLIMITED, UNLIMITED)
        self.watchers: list[Watcher] = []
        self.outage = False
        self.slow_ms = 0
        self.lost_replies = 0.0
        self.cut: set[str] = set()
