"""An HTTP method that a path does not support."""

from gypsumbridge_decisions.errors import base


class MethodNotAllowedError(base.GypsumbridgeError):
    """A request whose method the path does not support."""

    code = 'method_not_allowed'
