"""A write that conflicts with another write."""

from gypsumbridge_decisions.errors import base


class ConflictError(base.GypsumbridgeError):
    """A compare-and-swap whose expected revision is not the current one."""

    code = 'conflict'

    def __init__(self, message: str, remedy: str, revision: int) -> None:
        super().__init__(message, remedy)
        self.revision = revision
