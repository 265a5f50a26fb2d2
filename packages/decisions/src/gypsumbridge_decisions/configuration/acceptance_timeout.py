"""The time limit of a question about acceptance."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AcceptanceTimeout:
    """Names the question by its token."""

    token: str
