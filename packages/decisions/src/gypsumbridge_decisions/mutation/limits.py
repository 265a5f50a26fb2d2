"""Bounds that an operator declares for mutations."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Limits:
    """`clock_skew_ms` is the largest difference between two nodes' clocks.

    `max_key_lifetime_ms` bounds how long a claim stays in the store.
    """

    clock_skew_ms: int
    max_key_lifetime_ms: int
