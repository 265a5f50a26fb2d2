"""A batch that a front has sent."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SentBatch:
    """What went to which owner; `unreported` shards have no part yet."""

    attempt: int
    node_id: str
    unreported: frozenset[str]
    sent_ms: int
    hedged: bool
