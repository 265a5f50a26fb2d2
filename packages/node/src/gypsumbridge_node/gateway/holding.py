"""What one holder has of the memory that connections share."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Holding:
    """Bytes held since a time; `evictable_bytes` of them can be freed."""

    held_bytes: int
    evictable_bytes: int
    since_s: float

    @property
    def pinned_bytes(self) -> int:
        """Return the bytes that cannot be freed."""
        return self.held_bytes - self.evictable_bytes
