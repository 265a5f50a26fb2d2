"""State of the model of a partition's holder."""

import dataclasses

from gypsumbridge_decisions import quotas
from gypsumbridge_standins.models import holder_bounds
from gypsumbridge_standins.models import holder_node


@dataclasses.dataclass(frozen=True)
class HolderWorld:
    """The store's entry, a copy of it and the nodes; the time is always 0.

    `left` holds the faults that may still occur. The copy was made
    `older_age_ms` ago. `granted_by` is the node that was entitled last;
    `full_late` is set if its buckets were full although another process had
    granted before.
    """

    entry: quotas.HolderRecord
    nodes: tuple[holder_node.HolderNode, ...]
    left: holder_bounds.HolderBounds
    older: quotas.HolderRecord | None = None
    older_age_ms: int = 0
    granted_by: int | None = None
    full_late: bool = False

    def replace_node(
        self, number: int, node: holder_node.HolderNode
    ) -> 'HolderWorld':
        """Return the state with one node replaced."""
        nodes = list(self.nodes)
        nodes[number] = node
        return dataclasses.replace(self, nodes=tuple(nodes))

    def use(self, fault: str) -> 'HolderWorld':
        """Return the state with one fault less to occur."""
        count = getattr(self.left, fault) - 1
        left = dataclasses.replace(self.left, **{fault: count})
        return dataclasses.replace(self, left=left)
