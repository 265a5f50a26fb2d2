"""The revision that a failure domain holds."""

import dataclasses

from gypsumbridge_decisions.messages import subtree_report


@dataclasses.dataclass(frozen=True)
class DomainSummary:
    """A recovered node of the domain held `revision` and no higher one
    `vote_age_ms` ago; None means that no vote is known.
    """

    failure_domain: str
    revision: int
    vote_age_ms: int | None
    report: subtree_report.SubtreeReport
