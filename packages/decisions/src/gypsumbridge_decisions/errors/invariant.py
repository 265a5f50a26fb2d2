"""A broken invariant of the program itself."""

from gypsumbridge_decisions.errors import base


class InvariantError(base.GypsumbridgeError):
    """Something that must always hold does not; the result is withheld."""

    code = 'internal'
