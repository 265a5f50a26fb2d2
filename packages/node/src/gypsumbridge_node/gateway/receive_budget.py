"""A limit on the memory of all incomplete messages of a task."""

from collections.abc import Callable

# Six bodies of the maximum size. The smallest hosts have 160 MB.
MAX_INCOMPLETE_BYTES = 48 * 1_048_576


class ReceiveBudget:
    """Tracks incomplete messages, and aborts the largest over the limit.

    `holders` maps the function that aborts a message to the bytes that were
    received of it.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.holders: dict[Callable[[], None], int] = {}

    def record(self, abort: Callable[[], None], held_bytes: int) -> None:
        """Record the size of an incomplete message.

        While all of them exceed the limit, the largest one is aborted, which
        has to release it.
        """
        self.used_bytes += held_bytes - self.holders.get(abort, 0)
        self.holders[abort] = held_bytes
        while self.used_bytes > self.limit_bytes:
            largest = max(self.holders, key=self.holders.__getitem__)
            largest()

    def release(self, abort: Callable[[], None]) -> None:
        """Forget a message that was completed or aborted."""
        self.used_bytes -= self.holders.pop(abort, 0)


def make_receive_budget() -> ReceiveBudget:
    """Return the budget of a task, which is the same on all hosts."""
    return ReceiveBudget(MAX_INCOMPLETE_BYTES)
