"""One page of a list of the store."""

import dataclasses

from gypsumbridge_decisions import discovery


@dataclasses.dataclass(frozen=True)
class StorePage:
    """`next_after` is the key that the next page follows, or empty."""

    revision: int
    records: tuple[discovery.StoreRecord, ...]
    next_after: str
