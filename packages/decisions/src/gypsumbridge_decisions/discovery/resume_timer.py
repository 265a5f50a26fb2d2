"""Time for the next call to the store."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ResumeTimer:
    """Set between two calls, and after a failed one."""
