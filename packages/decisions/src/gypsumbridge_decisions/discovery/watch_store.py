"""A command to wait for changes in the store."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class WatchStore:
    """Answered by StoreChanged, HistoryLost or StoreFailed."""

    after_revision: int
    wait_ms: int
