"""The kinds of timers of a mutation."""

import enum


class TimerKind(enum.StrEnum):
    """`DROP` removes a sent mutation whose result has not arrived."""

    DEADLINE = 'deadline'
    RESUME = 'resume'
    DROP = 'drop'
