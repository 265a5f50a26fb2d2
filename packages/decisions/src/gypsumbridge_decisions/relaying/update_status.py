"""How current a node's copy of the store is."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class UpdateStatus:
    """The revision of `era` that a node has applied, and its confirmation.

    The store confirmed `age_ms` ago that `revision` was its latest.
    `in_touch` is false when that is too long ago, or when the last call
    failed. With `confirming`, the node has a copy that may be outdated, or of
    an older era, and is about to confirm it. `proven_ms` is when the copy was
    last proven to be the newest, on the clock that counts suspended time; None
    if it never was.
    """

    revision: int
    in_touch: bool
    age_ms: int
    confirming: bool = False
    proven_ms: int | None = None
    era: int = 0
