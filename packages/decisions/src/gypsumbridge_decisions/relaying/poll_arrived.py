"""A request of another node for news."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PollArrived:
    """Answered by AnswerPoll, after `wait_ms` at the latest.

    `after_revision` is what the other node knows, 0 if nothing.
    """

    poll_id: int
    after_revision: int
    wait_ms: int
