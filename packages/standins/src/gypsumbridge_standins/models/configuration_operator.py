"""An operator of the configuration model."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Operator:
    """`base` is the revision read before the compare-and-swap; `written`
    is that of the write, and `accepted_ms` when it was accepted.
    """

    base: int = 0
    written: int = 0
    accepted_ms: int | None = None
