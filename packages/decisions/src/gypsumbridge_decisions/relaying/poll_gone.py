"""A node that waited for news has left."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PollGone:
    """The poll needs no answer."""

    poll_id: int
