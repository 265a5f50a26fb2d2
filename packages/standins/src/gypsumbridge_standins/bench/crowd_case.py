"""One way in which clients abuse a port of a gateway."""

import dataclasses

from gypsumbridge_standins.bench import hostile_crowd


@dataclasses.dataclass(frozen=True)
class CrowdCase:
    """The attack of each client; `port` is `callers` or `ready`."""

    name: str
    port: str
    attack: hostile_crowd.Attack
