"""State of one replica set at its owner."""

from gypsumbridge_decisions.owner import admission
from gypsumbridge_decisions.owner import call_queue
from gypsumbridge_decisions.owner import pending_call
from gypsumbridge_decisions.owner import replica_state


class ReplicaSetState:
    """Queues, floor credits and replicas of one replica set.

    `credits` holds the dispatches that each backlogged rank is due under
    its floor, and `running_by_rank` the slots that each rank uses. The calls
    in `retries` wait for a replica that they have not tried.
    """

    def __init__(self, key: tuple[str, str]) -> None:
        self.key = key
        self.replicas: dict[str, replica_state.ReplicaState] = {}
        self.queues: dict[str, call_queue.CallQueue] = {}
        self.credits: dict[str, float] = {}
        self.admissions: dict[str, admission.Admission] = {}
        self.running_by_rank: dict[str, int] = {}
        self.retries: list[pending_call.PendingCall] = []

    def queue(self, rank: str) -> call_queue.CallQueue:
        """Return the queue of a rank, created on first use."""
        found = self.queues.get(rank)
        if found is None:
            found = call_queue.CallQueue()
            self.queues[rank] = found
        return found

    def admission(self, rank: str) -> admission.Admission:
        """Return the admission state of a rank, created on first use."""
        found = self.admissions.get(rank)
        if found is None:
            found = admission.Admission()
            self.admissions[rank] = found
        return found

    def is_idle(self) -> bool:
        """Return whether no call is queued, waiting for a retry or running."""
        queued = any(queue.length for queue in self.queues.values())
        running = any(self.running_by_rank.values())
        return not (queued or running or self.retries)

    def slots(self) -> int:
        """Return the total slots of the replicas that are not leaving."""
        return sum(
            replica.endpoint.slots
            for replica in self.replicas.values()
            if not replica.leaving_sources
        )
