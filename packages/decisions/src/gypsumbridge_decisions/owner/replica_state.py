"""State of one endpoint of a replica set at its owner."""

from gypsumbridge_decisions import resources
from gypsumbridge_decisions.owner import latency


class ReplicaState:
    """Slots in use, health and latency of one endpoint.

    `running` maps call ids to start times in milliseconds.
    `leaving_sources` names the sources that report the endpoint as leaving;
    it gets new work only while this is empty. A `cold` endpoint has not
    completed a request since it was added or ejected.
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
        """Return how many more requests may be sent to the endpoint.

        A cold endpoint gets one request at a time.
        """
        slots = 1 if self.cold else self.endpoint.slots
        return slots - len(self.running)
