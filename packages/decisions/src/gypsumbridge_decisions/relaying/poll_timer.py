"""The timeout of a waiting poll."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PollTimer:
    """Answers the poll if it is still waiting."""

    poll_id: int
