"""A snapshot that arrives in parts."""

import dataclasses

from gypsumbridge_decisions import messages


@dataclasses.dataclass(frozen=True)
class Staged:
    """Everything up to the last key, as of one revision."""

    revision: int
    items: tuple[messages.StoreItem, ...]
