"""Which time of a mutation has come."""

import enum


class TimerKind(enum.StrEnum):
    """`DROP` ends the wait for a result that is still missing."""

    DEADLINE = 'deadline'
    RESUME = 'resume'
    DROP = 'drop'
