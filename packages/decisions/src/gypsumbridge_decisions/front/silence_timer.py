"""A timer of a sent batch."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SilenceTimer:
    """An owner has had its time to show that it received a batch.

    `checked_ms` is when the front asked it for a sign of life, or None
    before that.
    """

    query_id: str
    attempt: int
    checked_ms: int | None
