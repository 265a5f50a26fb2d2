"""A searcher with slots and a bounded queue."""

import collections

QUEUE = 8


class SearcherModel:
    """Runs `slots` requests at a time, and rejects those over its queue."""

    def __init__(self, fleet, slots, work_ms):
        self.fleet = fleet
        self.slots = slots
        self.work_ms = work_ms
        self.running = 0
        self.queue = collections.deque()
        self.slow_factor = 1

    def arrive(self, end):
        if self.running >= self.slots and len(self.queue) >= QUEUE:
            end(False)
            return
        self.queue.append(end)
        self.start_next()

    def start_next(self):
        while self.queue and self.running < self.slots:
            end = self.queue.popleft()
            self.running += 1
            spread = self.fleet.random.uniform(0.7, 1.3)
            took_ms = int(self.work_ms * self.slow_factor * spread)
            self.fleet.after(took_ms, self.finish, end)

    def finish(self, end):
        self.running -= 1
        end(True)
        self.start_next()
