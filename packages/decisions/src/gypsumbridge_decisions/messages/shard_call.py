"""One shard of a batch."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ShardCall:
    """A shard to search and the replica set that holds it."""

    shard: str
    replica_set: str
