"""Identity of a call."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CallKey:
    """Identifies a call; `request_id` is the id of its query or mutation."""

    sender: str
    request_id: str
    attempt: int
    shard: str
