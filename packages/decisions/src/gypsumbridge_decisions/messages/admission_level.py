"""The admission threshold of a rank in a replica set."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AdmissionLevel:
    """Queries of `rank` whose admission key is below `level` are admitted."""

    service: str
    replica_set: str
    rank: str
    level: float
