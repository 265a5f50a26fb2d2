"""A limit on the memory that all connections of a process hold."""

from collections.abc import Callable
import time

from gypsumbridge_node.gateway import holding

MIB = 1_048_576
# Six bodies of the maximum size. The smallest hosts have 152 MB.
DEFAULT_BYTES = 48 * MIB
# A process without connections takes 37 MB, and some more with large tables.
BASE_MB = 48
# A byte that is held takes up to two: copies of bodies, and pieces of memory
# that the allocator cannot return.
MEMORY_PER_BYTE = 2
MIN_BYTES = 8 * MIB
# Evicting this much below the limit keeps the search for holders rare.
LOW_SHARE = 0.9
# Makes holders of about the same age comparable by their size.
MIN_AGE_S = 0.1


class MemoryBudget:
    """Tracks what connections hold, and evicts from them over the limit.

    `holders` maps the function that evicts a holder to what it holds. The
    holder with the most bytes times the square of its age is evicted first:
    a large message that arrives quickly outlives many small ones that stay.
    """

    def __init__(
        self, limit_bytes: int, now_s: Callable[[], float] = time.monotonic
    ) -> None:
        self.limit_bytes = limit_bytes
        self.now_s = now_s
        self.used_bytes = 0
        # The part of it that cannot be evicted.
        self.pinned_bytes = 0
        self.evicting = False
        self.holders: dict[Callable[[], None], holding.Holding] = {}

    def record(
        self,
        evict: Callable[[], None],
        held_bytes: int,
        evictable_bytes: int | None = None,
    ) -> None:
        """Record what a holder has; all of it is evictable by default.

        While all holders exceed the limit, some are evicted, each of which
        has to release or record what it holds then.
        """
        found = self.holders.get(evict)
        self.release(evict)
        recorded = holding.Holding(
            held_bytes,
            held_bytes if evictable_bytes is None else evictable_bytes,
            self.now_s() if found is None else found.since_s,
        )
        self.holders[evict] = recorded
        self.used_bytes += held_bytes
        self.pinned_bytes += recorded.pinned_bytes
        # Evicted holders record what is left of them.
        if self.used_bytes > self.limit_bytes and not self.evicting:
            self.evicting = True
            try:
                self._evict()
            finally:
                self.evicting = False

    def release(self, evict: Callable[[], None]) -> None:
        """Forget a holder that holds nothing any more."""
        found = self.holders.pop(evict, None)
        if found is not None:
            self.used_bytes -= found.held_bytes
            self.pinned_bytes -= found.pinned_bytes

    def can_pin(self, more_bytes: int) -> bool:
        """Return whether evictions can make room for that many bytes."""
        return self.pinned_bytes + more_bytes <= self.limit_bytes

    def _evict(self) -> None:
        now_s = self.now_s()

        def weigh(evict: Callable[[], None]) -> float:
            found = self.holders[evict]
            age_s = now_s - found.since_s + MIN_AGE_S
            return found.evictable_bytes * age_s * age_s

        low_bytes = LOW_SHARE * self.limit_bytes
        for evict in sorted(self.holders, key=weigh, reverse=True):
            if self.used_bytes <= low_bytes:
                return
            found = self.holders.get(evict)
            if found is not None and found.evictable_bytes:
                evict()


def budget_bytes(memory_mb: int) -> int:
    """Return the budget of a process on a host with this much memory.

    With 0 the memory is not known.
    """
    if not memory_mb:
        return DEFAULT_BYTES
    spare_bytes = (memory_mb - BASE_MB) * MIB
    return max(MIN_BYTES, spare_bytes // MEMORY_PER_BYTE)


def make_memory_budget(memory_mb: int = 0) -> MemoryBudget:
    """Return the budget of a process."""
    return MemoryBudget(budget_bytes(memory_mb))
