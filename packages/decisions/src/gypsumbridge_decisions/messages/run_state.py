"""Whether a refused request was run."""

import enum


class RunState(enum.StrEnum):
    """What a refusal may truthfully say about execution."""

    NOT_RUN = 'not_run'
    OUTCOME_UNKNOWN = 'outcome_unknown'
