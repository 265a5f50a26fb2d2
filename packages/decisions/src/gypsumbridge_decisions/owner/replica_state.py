"""What an owner knows about one endpoint of a replica set."""

from gypsumbridge_decisions import resources
from gypsumbridge_decisions.owner import latency


class ReplicaState:
    """Slots in use, health and latency of one endpoint.

    `running` maps call ids to their start. `leaving_sources` names who
    says that the endpoint is leaving; it takes new work only when empty.
    """

    def __init__(self, endpoint: resources.Endpoint) -> None:
        self.endpoint = endpoint
        self.running: dict[int, int] = {}
        self.latency = latency.Latency()
        self.failures = 0
        self.ejections = 0
        self.ejected_until_ms = 0
        self.backoff_until_ms = 0
        self.cold = True
        self.leaving_sources: set[str] = set()

    def free_slots(self) -> int:
        """Return how many more requests the endpoint may run.

        A cold endpoint gets one request at a time until one succeeds.
        """
        slots = 1 if self.cold else self.endpoint.slots
        return slots - len(self.running)
