"""Timer for looking at the queue of a service again."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RoomTimer:
    """Set while parts wait for room at the searchers of `service`."""

    service: str
