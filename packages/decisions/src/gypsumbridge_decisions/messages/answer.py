"""The answer to a query."""

import dataclasses

from gypsumbridge_decisions.messages import missing_shard
from gypsumbridge_decisions.messages import part


@dataclasses.dataclass(frozen=True)
class Answer:
    """The merged parts of one snapshot.

    Each shard of the snapshot's map appears once, either in `parts` or in
    `missing`. `coverage` is the covered share of the shards, in [0, 1].
    `attempts` counts the requests that endpoints received.
    """

    query_id: str
    request_id: str
    service: str
    snapshot: str
    coverage: float
    parts: tuple[part.Part, ...]
    missing: tuple[missing_shard.MissingShard, ...]
    attempts: int
    elapsed_ms: int
