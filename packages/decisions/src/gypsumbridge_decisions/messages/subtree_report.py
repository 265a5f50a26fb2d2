"""What the nodes of a subtree have applied."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SubtreeReport:
    """Constant size for any number of nodes.

    `lagging` of the `nodes` had not applied `target`; the oldest part of
    the report is `age_ms` old.
    """

    lowest: int
    nodes: int
    lagging: int
    target: int
    age_ms: int
