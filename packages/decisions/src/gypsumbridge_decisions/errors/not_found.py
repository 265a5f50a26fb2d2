"""A resource that does not exist."""

from gypsumbridge_decisions.errors import base


class NotFoundError(base.GypsumbridgeError):
    """A resource that does not exist."""

    code = 'not_found'
