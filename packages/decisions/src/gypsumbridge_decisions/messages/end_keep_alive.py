"""A request to stop keeping connections alive."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EndKeepAlive:
    """From now on each response closes its connection."""
