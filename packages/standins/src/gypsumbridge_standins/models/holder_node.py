"""A node of the model of a partition's holder."""

import dataclasses

from gypsumbridge_decisions import quotas


@dataclasses.dataclass(frozen=True)
class HolderNode:
    """A process, and what it has sent to the store.

    `read` is an entry on its way to the node, with the time of the call;
    `write` is on its way to the store, also after the process has ended.
    """

    holding: quotas.Holding = quotas.Holding()
    read: tuple[quotas.HolderRecord, int] | None = None
    write: quotas.HolderRecord | None = None
