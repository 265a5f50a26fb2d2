"""What a node tells another one of the store."""

import dataclasses

from gypsumbridge_decisions.relaying import store_record


@dataclasses.dataclass(frozen=True)
class RelayedUpdates:
    """Records that changed up to and including `revision`.

    With `complete`, the records are all that there are, and keys that are
    missing have been deleted. `in_touch` is false while the sender itself
    gets no news, so that the receiver asks elsewhere. The store said
    `age_ms` ago that there was nothing newer.
    """

    revision: int
    records: tuple[store_record.StoreRecord, ...]
    complete: bool
    in_touch: bool
    age_ms: int
