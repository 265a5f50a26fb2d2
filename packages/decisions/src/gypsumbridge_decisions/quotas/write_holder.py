"""A command to write a partition's holder to the store."""

import dataclasses

from gypsumbridge_decisions.quotas import holder_record


@dataclasses.dataclass(frozen=True)
class WriteHolder:
    """Writes `record` if the entry still has its revision.

    Answered by HolderWritten.
    """

    record: holder_record.HolderRecord
