"""An order to give up an attempt."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CancelAttempt:
    """Discards the attempt's response.

    The connection is kept if the response arrives within `linger_ms`;
    otherwise it is closed, which makes the searcher stop its work.
    """

    attempt_id: int
    linger_ms: int
