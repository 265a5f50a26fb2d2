"""A request beyond a concurrency limit."""

from gypsumbridge_decisions.errors import base


class BusyError(base.GypsumbridgeError):
    """A request that was not started because too many are in progress."""

    code = 'busy'
