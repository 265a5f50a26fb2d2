"""What one holder has of the memory that connections share."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Holding:
    """Bytes held since a time; `evictable_bytes` of them can be freed."""

    held_bytes: int
    evictable_bytes: int
    since_s: float
