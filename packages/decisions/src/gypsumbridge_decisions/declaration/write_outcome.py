"""Outcome of a write whose reply was lost."""

import enum


class WriteOutcome(enum.StrEnum):
    """Whether a write was applied; `OPEN` if it may still be applied."""

    APPLIED = 'applied'
    NOT_APPLIED = 'not_applied'
    OPEN = 'open'
