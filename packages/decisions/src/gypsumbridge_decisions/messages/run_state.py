"""Whether a refused request was run."""

import enum


class RunState(enum.StrEnum):
    """`NOT_RUN` is used only if the request was certainly not run."""

    NOT_RUN = 'not_run'
    OUTCOME_UNKNOWN = 'outcome_unknown'
