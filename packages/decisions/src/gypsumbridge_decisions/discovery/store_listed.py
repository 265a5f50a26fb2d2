"""The whole content of the store."""

import dataclasses

from gypsumbridge_decisions import relaying


@dataclasses.dataclass(frozen=True)
class StoreListed:
    """All keys; changes after `revision` are not included for certain."""

    revision: int
    records: tuple[relaying.StoreRecord, ...]
