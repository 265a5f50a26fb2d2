"""A command to accept no new requests."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StopAccepting:
    """Refuses new requests as not run; those in progress continue."""
