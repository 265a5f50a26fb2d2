"""Timer for answering a gather with the parts received so far."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ObjectiveTimer:
    """Set shortly before the latency objective of a gather route.

    `due_ms` is the time for which it is set, on the node's clock.
    """

    call_id: int
    due_ms: int
