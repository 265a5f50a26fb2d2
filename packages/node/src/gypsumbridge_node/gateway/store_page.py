"""One page of a list of the store."""

import dataclasses

from gypsumbridge_decisions import relaying


@dataclasses.dataclass(frozen=True)
class StorePage:
    """`next_after` is the key that the next page follows, or empty."""

    revision: int
    records: tuple[relaying.StoreRecord, ...]
    next_after: str
