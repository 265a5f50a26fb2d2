"""The complete content of the store."""

import dataclasses

from gypsumbridge_decisions import relaying


@dataclasses.dataclass(frozen=True)
class StoreListed:
    """All keys; changes after `revision` may or may not be included.

    The pages of a list need not be of one revision; `revision` is the lowest
    of theirs. `sent_ms` is when the first page was requested, on the clock
    that counts suspended time; None where it is not known.
    `era` is that of the response, None if it states none.
    """

    revision: int
    records: tuple[relaying.StoreRecord, ...]
    sent_ms: int | None = None
    era: int | None = None
