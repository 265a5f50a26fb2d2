"""A waiting poll whose connection was closed."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PollClosed:
    """The poll needs no answer."""

    poll_id: int
