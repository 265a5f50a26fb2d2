"""The kinds of timers of a mutation."""

import enum


class TimerKind(enum.StrEnum):
    """`DROP` ends the wait for a result that has not arrived."""

    DEADLINE = 'deadline'
    RESUME = 'resume'
    DROP = 'drop'
