"""A body over the size limit."""

from gypsumbridge_decisions.errors import base


class TooLargeError(base.GypsumbridgeError):
    """A request whose body is over the limit."""

    code = 'too_large'
