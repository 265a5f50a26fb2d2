"""A violated invariant of the program."""

from gypsumbridge_decisions.errors import base


class InvariantError(base.GypsumbridgeError):
    """A violated invariant of the program; the result is withheld."""

    code = 'internal'
