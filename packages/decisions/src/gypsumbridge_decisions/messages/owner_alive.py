"""An owner's reply to a liveness check."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class OwnerAlive:
    """The reply to an `OwnerCheck`."""

    sender: str
