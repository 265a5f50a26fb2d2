"""The complete content of the store."""

import dataclasses

from gypsumbridge_decisions import relaying


@dataclasses.dataclass(frozen=True)
class StoreListed:
    """All keys; changes after `revision` may or may not be included.

    The pages of a list need not be of one revision; `revision` is the lowest
    of theirs.
    """

    revision: int
    records: tuple[relaying.StoreRecord, ...]
