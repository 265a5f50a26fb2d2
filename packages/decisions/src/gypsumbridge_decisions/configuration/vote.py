"""The revisions that one failure domain holds."""

import dataclasses

NEVER_MS = -(2**62)


@dataclasses.dataclass(frozen=True)
class Vote:
    """Times are readings of the clock of the node that stores the vote.

    At `at_ms` a recovered node of the domain held no revision above
    `revision`. At `lowest_at_ms` every live node of the domain held at
    least `lowest`.
    """

    failure_domain: str
    revision: int = 0
    at_ms: int = NEVER_MS
    lowest: int = 0
    lowest_at_ms: int = NEVER_MS
