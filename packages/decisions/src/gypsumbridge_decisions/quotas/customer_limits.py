"""What a customer's quota means for one partition."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CustomerLimits:
    """The bucket of a customer in each of its first `partitions` partitions.

    The bucket gains `rate_per_ms` tokens a millisecond, up to `capacity`. One
    that begins empty gets `bonus` tokens after `bonus_after_ms` and counts as
    full after `full_after_ms`. Its tokens are valid for `lifetime_ms`.
    """

    partitions: int
    rate_per_ms: float
    capacity: float
    bonus: float
    bonus_after_ms: int
    full_after_ms: int
    lifetime_ms: int
