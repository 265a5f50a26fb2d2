"""The reply to an `AwaitAccepted` request."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AcceptedReport:
    """Whether a stored change is accepted.

    `failure_domains` are those whose live nodes all hold the revision.
    """

    token: str
    revision: int
    accepted: bool
    failure_domains: tuple[str, ...]
