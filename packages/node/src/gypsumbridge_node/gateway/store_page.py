"""One page of a listing of the store."""

import dataclasses

from gypsumbridge_decisions import relaying


@dataclasses.dataclass(frozen=True)
class StorePage:
    """`next_after` is the key after which the next page begins, or empty."""

    revision: int
    records: tuple[relaying.StoreRecord, ...]
    next_after: str
