"""The revisions that the nodes of a subtree have applied."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SubtreeReport:
    """An aggregate whose size does not depend on the number of nodes.

    `lowest` is the lowest revision that a node has applied. `lagging` of
    the `nodes` had not applied `target`. The oldest input of the report is
    `age_ms` old.
    """

    lowest: int
    nodes: int
    lagging: int
    target: int
    age_ms: int
