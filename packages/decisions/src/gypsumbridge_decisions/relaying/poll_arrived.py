"""A poll from another node for store updates."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PollArrived:
    """Answered by AnswerPoll within `wait_ms`.

    `after_revision` is the revision of `era` that the other node has applied,
    0 for none. `era` is None if its release knows no eras.
    """

    poll_id: int
    after_revision: int
    wait_ms: int
    era: int | None = None
