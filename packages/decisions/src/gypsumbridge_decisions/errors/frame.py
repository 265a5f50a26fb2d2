"""Bytes from a peer or an outside system that cannot be decoded."""

from gypsumbridge_decisions.errors import base


class FrameError(base.GypsumbridgeError):
    """Bytes from a peer or an outside system that cannot be decoded."""

    code = 'bad_frame'
