"""The outcome of one shard call."""

import enum


class PartOutcome(enum.StrEnum):
    """Covered, refused before it ran, or failed with unknown effect."""

    COVERED = 'covered'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
