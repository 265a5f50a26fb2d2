"""Asks for an end of idle connections."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EndKeepAlive:
    """Each response from now on closes its connection."""
