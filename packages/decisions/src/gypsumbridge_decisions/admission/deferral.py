"""A part that waits although its response will be late."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Deferral:
    """At `since_ms`, the part was expected to be complete at `expected_ms`."""

    since_ms: int
    expected_ms: float
