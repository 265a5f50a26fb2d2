"""Changes returned by a watch."""

import dataclasses

from gypsumbridge_decisions import relaying


@dataclasses.dataclass(frozen=True)
class StoreChanged:
    """Changes up to and including `revision`; none if the watch timed out.

    `sent_ms` is when the watch was sent, on the clock that counts suspended
    time; None where it is not known.
    `era` is that of the response, None if it states none.
    """

    revision: int
    records: tuple[relaying.StoreRecord, ...]
    sent_ms: int | None = None
    era: int | None = None
