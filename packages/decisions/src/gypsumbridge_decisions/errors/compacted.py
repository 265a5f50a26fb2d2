"""A watch that starts before the history that is kept."""

from gypsumbridge_decisions.errors import base


class CompactedError(base.GypsumbridgeError):
    """A watch that starts before the history that is kept."""

    code = 'compacted'
