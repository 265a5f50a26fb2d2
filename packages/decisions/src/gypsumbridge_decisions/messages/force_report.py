"""Whether a revision is in force."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ForceReport:
    """Answers `ForceQuery`; `lagging_nodes` have not applied the revision."""

    token: str
    revision: int
    in_force: bool
    lagging_nodes: int
    live_nodes: int
