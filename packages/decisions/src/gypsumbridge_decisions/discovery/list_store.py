"""A command to list the store."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ListStore:
    """Answered by StoreListed or StoreFailed.

    With `stale_ok` the list may be some seconds old, which is cheaper. All
    pages must be of one era; a page that states none is of `era`.
    """

    stale_ok: bool
    era: int = 0
