"""A write that may or may not have been applied."""

from gypsumbridge_decisions.errors import base


class OutcomeUnknownError(base.GypsumbridgeError):
    """A write whose reply was lost and whose outcome cannot be determined."""

    code = 'outcome_unknown'
