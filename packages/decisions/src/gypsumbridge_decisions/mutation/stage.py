"""The stage of a mutation at its claimant."""

import enum


class Stage(enum.StrEnum):
    """The step that the run awaits.

    `WAITING` awaits a change of another request's claim. `SETTLING` checks
    whether a claim write whose reply was lost has to be undone.
    """

    CLAIMING = 'claiming'
    READING = 'reading'
    WAITING = 'waiting'
    SENT = 'sent'
    RECORDING = 'recording'
    RELEASING = 'releasing'
    SETTLING = 'settling'
    ENDED = 'ended'
