"""Invalid settings."""

from gypsumbridge_decisions.errors import base


class SettingsError(base.GypsumbridgeError):
    """Settings that are invalid or conflict with each other."""

    code = 'bad_settings'
