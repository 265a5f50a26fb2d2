"""The value of a partition's entry in the store."""

import msgspec


class HolderValue(msgspec.Struct, frozen=True):
    """The node that holds the partition, and the count of its holders."""

    node_id: str
    claim: int
