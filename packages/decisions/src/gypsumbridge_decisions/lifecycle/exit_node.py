"""Ends the process."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ExitNode:
    """`clean` is False when work in flight was cut short."""

    reason: str
    clean: bool
