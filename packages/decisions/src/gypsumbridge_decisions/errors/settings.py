"""Settings that cannot be used."""

from gypsumbridge_decisions.errors import base


class SettingsError(base.GypsumbridgeError):
    """Settings that cannot be used."""

    code = 'bad_settings'
