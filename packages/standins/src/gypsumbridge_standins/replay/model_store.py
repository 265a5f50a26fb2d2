"""An in-memory configuration store."""

from collections.abc import Callable

from gypsumbridge_decisions import messages
from gypsumbridge_standins.store import store_state

UNLIMITED_RATE = 10**9
Watcher = tuple[messages.StoreRequest, Callable[[], None]]


class ModelStore:
    """Keys and faults of the store.

    `slow_ms` is the maximum delay added to each request and each reply,
    `lost_replies` the share of writes that are applied without a reply,
    and `cut_nodes` the nodes that cannot reach it.
    """

    def __init__(self) -> None:
        self.state = store_state.StoreState(UNLIMITED_RATE, UNLIMITED_RATE)
        self.watchers: list[Watcher] = []
        self.outage = False
        self.slow_ms = 0
        self.lost_replies = 0.0
        self.cut_nodes: set[str] = set()
