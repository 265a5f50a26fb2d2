"""Whether a mutation may still be sent."""

import enum


class Timing(enum.StrEnum):
    """`EXPIRED` means that the key's expiry has passed.

    After the expiry, an earlier claim of the key may have been removed, so
    that not even the claimant can report the key as never run.
    """

    IN_TIME = 'in_time'
    LATE = 'late'
    EXPIRED = 'expired'
