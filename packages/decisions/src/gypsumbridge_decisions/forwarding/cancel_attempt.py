"""A command to cancel an attempt."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CancelAttempt:
    """Discards the attempt's response.

    The connection is kept if the response arrives within `grace_ms`;
    otherwise it is closed, which stops the work at the searcher.
    """

    attempt_id: int
    grace_ms: int
