"""A queue of events in order of time."""

from collections.abc import Callable
import heapq

from gypsumbridge_decisions import clock


class Scheduler:
    """Runs functions at their time, in order of scheduling if equal."""

    def __init__(self) -> None:
        self.time = clock.ManualTime()
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.scheduled = 0

    def now_ms(self) -> int:
        """Return the current simulated time."""
        return self.time.value_ms

    def after(self, delay_ms: int, run: Callable[[], None]) -> None:
        """Schedule a function to run after a delay."""
        self.scheduled += 1
        at_ms = self.now_ms() + max(delay_ms, 0)
        heapq.heappush(self.queue, (at_ms, self.scheduled, run))

    def step(self) -> bool:
        """Run the next function; return False if there is none."""
        if not self.queue:
            return False
        at_ms, _, run = heapq.heappop(self.queue)
        self.time.advance(at_ms - self.now_ms())
        run()
        return True

    def run_until(self, end_ms: int) -> None:
        """Run everything that is due up to a time."""
        while self.queue and self.queue[0][0] <= end_ms:
            self.step()
        self.time.advance(max(end_ms - self.now_ms(), 0))
