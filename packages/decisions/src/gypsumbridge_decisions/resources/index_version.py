"""One version of a service's index."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True)
class IndexVersion:
    """An index version and its shard map.

    `shards` maps each shard's name to the replica set that holds it.
    """

    name: str
    shards: Mapping[str, str]
