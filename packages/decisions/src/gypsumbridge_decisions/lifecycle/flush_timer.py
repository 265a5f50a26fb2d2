"""The end of the time for writing the last bytes."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class FlushTimer:
    """Set once no work is in flight."""
