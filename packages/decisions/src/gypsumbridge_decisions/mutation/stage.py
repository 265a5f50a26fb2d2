"""How far a mutation has come at its claimant."""

import enum


class Stage(enum.StrEnum):
    """What the run waits for.

    `WAITING` waits for a claim of somebody else to change. `SETTLING`
    finds out whether a claim write whose reply was lost has to be undone.
    """

    CLAIMING = 'claiming'
    READING = 'reading'
    WAITING = 'waiting'
    SENT = 'sent'
    RECORDING = 'recording'
    RELEASING = 'releasing'
    SETTLING = 'settling'
    ENDED = 'ended'
