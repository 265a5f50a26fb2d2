"""An order to list the store."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ListStore:
    """Answered by StoreListed or StoreFailed."""
