"""The reply to a `ForceQuery`."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ForceReport:
    """A revision is in force once all live nodes have applied it.

    `lagging_nodes` of the `live_nodes` have not applied it yet.
    """

    token: str
    revision: int
    in_force: bool
    lagging_nodes: int
    live_nodes: int
