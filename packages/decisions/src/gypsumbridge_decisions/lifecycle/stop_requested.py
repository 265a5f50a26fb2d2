"""A signal that requests a stop of the node."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StopRequested:
    """The first one starts a graceful stop, the second one exits at once."""
