"""An owner's sign of life."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class OwnerAlive:
    """Answers `OwnerCheck`."""

    sender: str
