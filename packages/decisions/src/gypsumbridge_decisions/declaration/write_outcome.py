"""What became of a write whose reply was lost."""

import enum


class WriteOutcome(enum.StrEnum):
    """`OPEN` means that the write may still be applied later."""

    APPLIED = 'applied'
    NOT_APPLIED = 'not_applied'
    OPEN = 'open'
