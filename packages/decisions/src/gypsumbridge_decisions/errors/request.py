"""A caller's request that cannot be accepted."""

from gypsumbridge_decisions.errors import base


class RequestError(base.GypsumbridgeError):
    """A caller's request that cannot be accepted."""

    code = 'bad_request'
