"""What a status line begins."""

import enum


class StatusKind(enum.Enum):
    """A final answer, an interim one, or nothing that can be relied on."""

    ANSWER = 'answer'
    INTERIM = 'interim'
    BROKEN = 'broken'
