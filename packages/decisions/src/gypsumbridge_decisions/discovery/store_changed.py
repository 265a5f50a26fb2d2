"""Changes that a watch has returned."""

import dataclasses

from gypsumbridge_decisions import relaying


@dataclasses.dataclass(frozen=True)
class StoreChanged:
    """Changes up to and including `revision`; none when a watch ended."""

    revision: int
    records: tuple[relaying.StoreRecord, ...]
