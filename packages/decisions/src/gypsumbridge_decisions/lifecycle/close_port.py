"""Asks for an end of new connections."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ClosePort:
    """Closes the listening HTTP port; open connections go on."""
