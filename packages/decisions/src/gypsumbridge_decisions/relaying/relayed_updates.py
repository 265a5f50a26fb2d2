"""Store updates that one node sends to another."""

import dataclasses

from gypsumbridge_decisions.relaying import store_record


@dataclasses.dataclass(frozen=True)
class RelayedUpdates:
    """Records that changed up to and including `revision` of `era`.

    With `complete`, the records are those of all keys, and a key without a
    record has been deleted. Records of an older era are retained by the
    sender although the store lacks their keys. `era` is None if the sender's
    release knows no eras. `in_touch` is false while the sender gets no
    updates itself, so that the receiver polls another source. The store
    confirmed `age_ms` ago that there was nothing newer. `proof_age_ms` is an
    upper bound on the age of the sender's proof of that, on the clock that
    counts suspended time, when the updates were encoded; None if there is no
    proof, or if the sender's release states none.
    """

    revision: int
    records: tuple[store_record.StoreRecord, ...]
    complete: bool
    in_touch: bool
    age_ms: int
    proof_age_ms: int | None = None
    era: int | None = None
