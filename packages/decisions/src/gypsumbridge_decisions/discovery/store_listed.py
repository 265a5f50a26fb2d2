"""The complete content of the store."""

import dataclasses

from gypsumbridge_decisions import relaying


@dataclasses.dataclass(frozen=True)
class StoreListed:
    """All keys; changes after `revision` may or may not be included."""

    revision: int
    records: tuple[relaying.StoreRecord, ...]
