"""A batch that a front has sent to an owner."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SentBatch:
    """A batch sent to node `node_id`; `unreported` shards have no part yet."""

    attempt: int
    node_id: str
    unreported: frozenset[str]
    sent_ms: int
    hedged: bool
