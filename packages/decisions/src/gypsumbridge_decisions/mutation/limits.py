"""The limits that an operator configures for mutations."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Limits:
    """`clock_skew_ms` is the largest skew between the clocks of two nodes.

    `max_key_lifetime_ms` limits the time that a claim stays in the store.
    """

    clock_skew_ms: int
    max_key_lifetime_ms: int
