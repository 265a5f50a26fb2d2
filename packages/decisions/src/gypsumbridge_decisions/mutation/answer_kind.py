"""The kinds of answers to the caller of a mutation."""

import enum


class AnswerKind(enum.StrEnum):
    """`RECORDED` repeats an outcome that was read from the store."""

    RAN = 'ran'
    RECORDED = 'recorded'
    NOT_RUN = 'not_run'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    CONFLICT = 'conflict'
