"""Time to answer with the parts that have arrived."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ObjectiveTimer:
    """Set shortly before the latency objective of a gather route."""

    call_id: int
