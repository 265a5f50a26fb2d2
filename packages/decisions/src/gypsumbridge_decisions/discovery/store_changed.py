"""Changes that a watch has returned."""

import dataclasses

from gypsumbridge_decisions.discovery import store_record


@dataclasses.dataclass(frozen=True)
class StoreChanged:
    """Changes up to and including `revision`; none when a watch ended."""

    revision: int
    records: tuple[store_record.StoreRecord, ...]
