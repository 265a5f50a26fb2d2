"""Timer for looking at the queue of a service again."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RoomTimer:
    """Set while parts wait for room at the searchers of `service`.

    `due_ms` is the time for which it is set, on the node's clock.
    """

    service: str
    due_ms: int
