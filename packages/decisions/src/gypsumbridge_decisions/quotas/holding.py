"""A process's right to grant tokens of one partition."""

import dataclasses

from gypsumbridge_decisions.quotas import holder_record


@dataclasses.dataclass(frozen=True)
class Holding:
    """What this process knows about a partition, on the clock of the boot.

    `record` is the entry in the node's copy of the store, with an empty
    `node_id` if the copy lacks it, and None before the first copy. While the
    entry names this node, `proven_ms` is when the copy was last proven
    current. A new holder begins with a proof at `wait_until_ms` or later,
    and grants from `begin_ms` on. With `restoring`, this process was entitled
    when it saw a new era whose copy does not name it.

    `first_write` is set once this process has found no entry at the first
    start of the system and writes one; `full` is set if that entry is the
    one that names it.
    """

    record: holder_record.HolderRecord | None = None
    proven_ms: int | None = None
    wait_until_ms: int | None = None
    begin_ms: int | None = None
    restoring: bool = False
    first_write: bool = False
    full: bool = False
