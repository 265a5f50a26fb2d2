"""The end of the time that a node waits for news."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PollTimer:
    """Ends the poll, if it still waits."""

    poll_id: int
