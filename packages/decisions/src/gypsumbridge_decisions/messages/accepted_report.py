"""Whether a stored change is accepted."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AcceptedReport:
    """Answers `AwaitAccepted`; `failure_domains` hold the revision."""

    token: str
    revision: int
    accepted: bool
    failure_domains: tuple[str, ...]
