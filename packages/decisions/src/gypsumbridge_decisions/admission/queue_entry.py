"""The place of a part in the queue of its rank."""

import dataclasses

from gypsumbridge_decisions.admission import waiting_part


@dataclasses.dataclass(frozen=True, order=True)
class QueueEntry:
    """Entries are in order of lateness, virtual time and arrival."""

    is_late: bool
    tag_ms: float
    number: int
    part: waiting_part.WaitingPart = dataclasses.field(compare=False)
