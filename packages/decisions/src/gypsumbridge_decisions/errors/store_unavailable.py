"""The configuration store did not answer in time."""

from gypsumbridge_decisions.errors import base


class StoreUnavailableError(base.GypsumbridgeError):
    """The configuration store did not answer in time."""

    code = 'store_unavailable'
