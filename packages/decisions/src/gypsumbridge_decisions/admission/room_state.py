"""The queues of all services at a node."""

from gypsumbridge_decisions.admission import return_times
from gypsumbridge_decisions.admission import room_queue


class RoomState:
    """The queue of each service, and what it needs to be looked at again.

    `changed` names the services whose searchers or queue have changed since
    their parts were last planned, `timers` those with a timer that runs.
    `returns` spreads the refused requests of each service.
    """

    def __init__(self) -> None:
        self.queues: dict[str, room_queue.RoomQueue] = {}
        self.returns: dict[str, return_times.ReturnTimes] = {}
        self.changed: set[str] = set()
        self.timers: set[str] = set()

    def queue_for(self, service: str) -> room_queue.RoomQueue:
        """Return the queue of a service, created on first use."""
        if service not in self.queues:
            self.queues[service] = room_queue.RoomQueue()
            self.returns[service] = return_times.ReturnTimes()
        return self.queues[service]

    def record_change(self, service: str) -> None:
        """Record that a service may have room for a part that waits."""
        if service in self.queues:
            self.changed.add(service)

    def remove(self, service: str, call_id: int) -> None:
        """Remove a part that is not needed any more."""
        queue = self.queues.get(service)
        if queue is not None:
            queue.remove(call_id)
            self.changed.add(service)
