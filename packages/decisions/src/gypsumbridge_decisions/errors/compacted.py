"""A watch that starts before the retained history."""

from gypsumbridge_decisions.errors import base


class CompactedError(base.GypsumbridgeError):
    """A watch that starts before the oldest event in the store's history."""

    code = 'compacted'
