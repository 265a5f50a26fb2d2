"""Asks an owner for a sign of life."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class OwnerCheck:
    """Answered at once with `OwnerAlive`."""

    sender: str
