"""An operator of the configuration model."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Operator:
    """`base` is the revision read before the compare-and-swap, `written`
    that of the write, 0 before it, and `accepted_ms` the time of its
    acceptance.
    """

    base: int = 0
    written: int = 0
    accepted_ms: int | None = None
