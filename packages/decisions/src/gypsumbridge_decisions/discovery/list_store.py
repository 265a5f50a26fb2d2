"""A command to list the store."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ListStore:
    """Answered by StoreListed or StoreFailed.

    With `stale_ok` the list may be some seconds old, which is cheaper.
    """

    stale_ok: bool
