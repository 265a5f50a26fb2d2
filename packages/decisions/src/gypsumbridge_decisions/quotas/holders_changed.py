"""A report of the partitions' holders."""

import dataclasses

from gypsumbridge_decisions.quotas import holder_record


@dataclasses.dataclass(frozen=True)
class HoldersChanged:
    """All entries of holders in this node's copy of the store."""

    records: tuple[holder_record.HolderRecord, ...]
