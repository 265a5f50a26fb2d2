"""A request to wait until a stored change is accepted."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AwaitAccepted:
    """Answered with an `AcceptedReport` with the same token.

    The reply is sent once all live nodes in a majority of failure domains
    hold the revision, or after `wait_ms`.
    """

    token: str
    revision: int
    wait_ms: int
