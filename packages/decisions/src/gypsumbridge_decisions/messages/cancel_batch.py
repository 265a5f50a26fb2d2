"""A request to cancel a batch whose result is no longer needed."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CancelBatch:
    """Drops the queued calls of a query and cancels its running ones."""

    sender: str
    query_id: str
    attempt: int
