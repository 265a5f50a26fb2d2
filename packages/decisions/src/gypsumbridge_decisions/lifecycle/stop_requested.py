"""A signal that asks the node to stop."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StopRequested:
    """The first starts a graceful stop, the second ends the node."""
