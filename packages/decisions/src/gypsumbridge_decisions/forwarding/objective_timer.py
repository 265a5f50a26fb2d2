"""Time to answer with the parts that have arrived."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ObjectiveTimer:
    """Set shortly before the latency objective of a gather route.

    `due_ms` is when it should be handled, on the node's clock.
    """

    call_id: int
    due_ms: int
