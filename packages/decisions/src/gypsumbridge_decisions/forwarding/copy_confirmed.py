"""A report that this node's copy of the store is current."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CopyConfirmed:
    """The store, or a relay, has confirmed this node's copy.

    `confirmed_ms` is when the confirmation was received, on the node's
    clock. The copy was the newest at `proven_ms` or later, on the clock that
    counts suspended time: the time at which the call was sent, less the age
    that a relay has stated. Revisions compare within one `era` only.
    """

    confirmed_ms: int
    proven_ms: int
    era: int = 0
