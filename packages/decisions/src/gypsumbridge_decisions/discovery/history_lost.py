"""Notice that the changes since a revision cannot be read."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HistoryLost:
    """The store must be listed again.

    The `reason` is `compacted` if the store has dropped the changes, or
    `too_large` if its answer exceeds the limit on responses. `era` is that of
    the response, None if it states none.
    """

    reason: str = 'compacted'
    era: int | None = None
