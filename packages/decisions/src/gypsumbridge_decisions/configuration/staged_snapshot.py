"""A snapshot that is received in chunks."""

import dataclasses

from gypsumbridge_decisions import messages


@dataclasses.dataclass(frozen=True)
class StagedSnapshot:
    """The items received so far, in key order, as of one revision."""

    revision: int
    items: tuple[messages.StoreItem, ...]
