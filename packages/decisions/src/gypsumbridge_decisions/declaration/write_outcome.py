"""Outcome of a write whose reply was lost."""

import enum


class WriteOutcome(enum.StrEnum):
    """Whether a write was applied; with `OPEN` it may still be, later."""

    APPLIED = 'applied'
    NOT_APPLIED = 'not_applied'
    OPEN = 'open'
