"""Changes returned by a watch."""

import dataclasses

from gypsumbridge_decisions import relaying


@dataclasses.dataclass(frozen=True)
class StoreChanged:
    """Changes up to and including `revision`; none if the watch timed out."""

    revision: int
    records: tuple[relaying.StoreRecord, ...]
