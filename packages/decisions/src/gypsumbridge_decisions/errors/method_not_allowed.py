"""An HTTP method that a path does not take."""

from gypsumbridge_decisions.errors import base


class MethodNotAllowedError(base.GypsumbridgeError):
    """A request whose method the path does not take."""

    code = 'method_not_allowed'
