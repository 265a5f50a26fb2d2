"""The result of writing a partition's holder."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HolderWritten:
    """`revision` is that of the new entry, 0 unless it was certainly written.

    With `conflict`, the store refused the write, since the entry has
    changed. Otherwise it may be written, also later.
    """

    partition: int
    revision: int
    conflict: bool = False
