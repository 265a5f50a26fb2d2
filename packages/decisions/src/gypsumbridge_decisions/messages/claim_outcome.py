"""The recorded outcome of a mutation."""

import enum


class ClaimOutcome(enum.StrEnum):
    """`UNKNOWN` until the claimant or an operator records the outcome."""

    UNKNOWN = 'unknown'
    RAN = 'ran'
    NOT_RUN = 'not_run'
