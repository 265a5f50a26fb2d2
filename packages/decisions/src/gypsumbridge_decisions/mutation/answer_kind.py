"""What the caller of a mutation is told."""

import enum


class AnswerKind(enum.StrEnum):
    """`RECORDED` repeats an outcome that is in the store."""

    RAN = 'ran'
    RECORDED = 'recorded'
    NOT_RUN = 'not_run'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    CONFLICT = 'conflict'
