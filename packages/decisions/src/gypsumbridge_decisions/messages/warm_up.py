"""Keeps a connection to an endpoint open."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class WarmUp:
    """Opens one idle connection to an endpoint unless there is one."""

    endpoint: str
    address: str
    port: int
