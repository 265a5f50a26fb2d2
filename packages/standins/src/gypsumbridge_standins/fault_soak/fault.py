"""A fault of the plan."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault: `kind` names it, `choice` in [0, 1) picks its target.

    Times are in ms from the start of traffic; `for_ms` is its length where
    it has one.
    """

    at_ms: int
    kind: str
    choice: float
    for_ms: int
