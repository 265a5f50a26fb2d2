"""An action of the claim protocol: read the key."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ReadClaim:
    """Reads the claim of the run's key."""
