"""Whether a mutation may still be sent."""

import enum


class Timing(enum.StrEnum):
    """`EXPIRED` means that the key's expiry has passed.

    Past the expiry the key's earlier claim may have been removed, so even
    the claimant cannot say that the key was never run.
    """

    IN_TIME = 'in_time'
    LATE = 'late'
    EXPIRED = 'expired'
