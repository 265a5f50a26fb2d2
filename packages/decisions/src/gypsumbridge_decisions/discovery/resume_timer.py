"""Timer for the next call to the store or to a peer."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ResumeTimer:
    """Set between two calls, and after a failed one."""
