"""A liveness check of an owner."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class OwnerCheck:
    """Answered at once with an `OwnerAlive`."""

    sender: str
