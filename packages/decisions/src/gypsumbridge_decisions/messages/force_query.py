"""A query whether a revision is in force."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ForceQuery:
    """Answered with a `ForceReport` on all live nodes."""

    token: str
    revision: int
