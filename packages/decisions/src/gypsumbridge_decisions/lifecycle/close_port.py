"""A command to accept no more connections."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ClosePort:
    """Closes the listening HTTP port; open connections remain."""
