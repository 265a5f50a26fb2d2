"""What one failure domain is known to hold."""

import dataclasses

NEVER_MS = -(2**62)


@dataclasses.dataclass(frozen=True)
class Vote:
    """Times are on the clock of the node that keeps the vote.

    At `at_ms` a recovered node of the domain held no revision above
    `revision`. At `lowest_at_ms` every live node of it held at least
    `lowest`.
    """

    failure_domain: str
    revision: int = 0
    at_ms: int = NEVER_MS
    lowest: int = 0
    lowest_at_ms: int = NEVER_MS
