"""A batch of results from an owner to a front."""

import dataclasses

from gypsumbridge_decisions.messages import admission_level
from gypsumbridge_decisions.messages import part


@dataclasses.dataclass(frozen=True)
class PartBatch:
    """Some or all results of one `ShardBatch`."""

    sender: str
    query_id: str
    attempt: int
    parts: tuple[part.Part, ...]
    levels: tuple[admission_level.AdmissionLevel, ...]
    configuration_revision: int
