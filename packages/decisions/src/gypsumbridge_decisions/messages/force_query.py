"""Asks whether a revision is in force."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ForceQuery:
    """Asks for the state of a revision on all live nodes."""

    token: str
    revision: int
