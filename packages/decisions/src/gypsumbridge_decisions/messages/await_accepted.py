"""Asks whether a stored change is accepted."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AwaitAccepted:
    """Waits until relays of a majority of failure domains hold a revision,
    for at most `wait_ms`.
    """

    token: str
    revision: int
    wait_ms: int
