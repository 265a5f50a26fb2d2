"""The [mutation] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class MutationSettings:
    """Bounds for idempotency keys, in milliseconds.

    `clock_skew_ms` is the maximum difference between the wall clocks of two
    nodes; a mutation can run twice if they differ by more.
    """

    clock_skew_ms: int = 10_000
    max_key_lifetime_ms: int = 7 * 24 * 3_600_000
