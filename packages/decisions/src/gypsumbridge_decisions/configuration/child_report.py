"""The last report of a child in the pull tree or on a failure domain."""

import dataclasses

from gypsumbridge_decisions import messages


@dataclasses.dataclass(frozen=True)
class ChildReport:
    """The report is valid as of `since_ms`.

    `last_contact_ms` is the time of the child's last pull; for a failure
    domain it equals `since_ms`.
    """

    report: messages.SubtreeReport
    since_ms: int
    last_contact_ms: int
