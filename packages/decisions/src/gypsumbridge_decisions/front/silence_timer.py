"""A timer of an owner that has work of this front."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SilenceTimer:
    """An owner has had its time to send something.

    `since_ms` is when the timer was armed. `asked` says that the front
    asked the owner for a sign of life then.
    """

    node_id: str
    since_ms: int
    asked: bool
