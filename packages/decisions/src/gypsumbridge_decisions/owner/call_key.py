"""Identity of a unit of work."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CallKey:
    """Where a call came from; `request_id` is a query's or mutation's id."""

    sender: str
    request_id: str
    attempt: int
    shard: str
