"""How one shard call ended."""

import enum


class PartOutcome(enum.StrEnum):
    """Covered, refused before it was run, or failed with unknown effect."""

    COVERED = 'covered'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
