"""A request over a bound on work in progress."""

from gypsumbridge_decisions.errors import base


class BusyError(base.GypsumbridgeError):
    """A request that was not started because too many are running."""

    code = 'busy'
