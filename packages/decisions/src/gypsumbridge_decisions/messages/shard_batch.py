"""All shard calls of one query that go to one owner."""

import dataclasses

from gypsumbridge_decisions.messages import shard_call


@dataclasses.dataclass(frozen=True)
class ShardBatch:
    """A front's request to an owner.

    `attempt` distinguishes the batches of one query that go to different
    owners or follow a restart. `remaining_ms` is the time to the deadline
    when the batch is sent. Smaller admission keys are admitted first.
    """

    sender: str
    query_id: str
    attempt: int
    service: str
    version: str
    rank: str
    caller: str
    remaining_ms: int
    admission_key: float
    configuration_revision: int
    body: bytes
    calls: tuple[shard_call.ShardCall, ...]
    hedged: bool = False
