"""The phase of a claim in the store."""

import enum


class ClaimPhase(enum.StrEnum):
    """Only a `RELEASED` claim may be claimed again."""

    CLAIMED = 'claimed'
    RELEASED = 'released'
    DONE = 'done'
    RESOLVED = 'resolved'
