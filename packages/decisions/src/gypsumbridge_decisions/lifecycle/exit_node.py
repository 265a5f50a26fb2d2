"""A command to exit the process."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ExitNode:
    """`clean` is False if work may still be in flight."""

    reason: str
    clean: bool
