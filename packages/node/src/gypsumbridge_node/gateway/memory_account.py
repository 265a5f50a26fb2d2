"""What one connection has of the budget."""

from collections.abc import Callable

from gypsumbridge_node.gateway import memory_budget

# Less is not recorded: the number of connections bounds it.
MIN_RECORDED_BYTES = 4_096


def ignore_eviction() -> None:
    """Ignore an eviction of what was freed."""


class MemoryAccount:
    """Records what a connection holds, in the budget of the process.

    `evict` frees what it can of it.
    """

    def __init__(
        self, budget: memory_budget.MemoryBudget, evict: Callable[[], None]
    ) -> None:
        self.budget = budget
        self.evict = evict
        self.recorded = False

    def record(self, evictable_bytes: int, other_bytes: int) -> None:
        """Record the bytes that can be freed, and those that cannot."""
        held_bytes = evictable_bytes + other_bytes
        if held_bytes < MIN_RECORDED_BYTES:
            self.release()
            return
        self.recorded = True
        self.budget.record(self.evict, held_bytes, evictable_bytes)

    def release(self) -> None:
        """Record that nothing is held."""
        if self.recorded:
            self.recorded = False
            self.budget.release(self.evict)

    def end(self) -> None:
        """Record that nothing is held, and drop the reference to the holder.

        A closed connection is freed without the cyclic collector.
        """
        self.release()
        self.evict = ignore_eviction

    def can_pin(self, more_bytes: int) -> bool:
        """Return whether that many bytes can be held without an eviction."""
        if more_bytes < MIN_RECORDED_BYTES:
            return True
        return self.budget.can_pin(more_bytes)
