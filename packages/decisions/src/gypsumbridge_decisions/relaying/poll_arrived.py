"""A poll from another node for store updates."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PollArrived:
    """Answered by AnswerPoll within `wait_ms`.

    `after_revision` is the revision that the other node has applied, 0 for
    none.
    """

    poll_id: int
    after_revision: int
    wait_ms: int
