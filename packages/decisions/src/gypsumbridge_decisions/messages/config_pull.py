"""A pull of the configuration from another node."""

import dataclasses

from gypsumbridge_decisions.messages import subtree_report


@dataclasses.dataclass(frozen=True)
class ConfigPull:
    """Answered with a `ConfigState` with the same token.

    `after_key` continues a snapshot of `snapshot_revision`. The reply
    carries domain summaries unless their digest equals `digest`. `stamp_ms`
    is the stamp of the receiver's last reply to this sender.
    """

    sender: str
    failure_domain: str
    token: int
    revision: int
    report: subtree_report.SubtreeReport
    digest: int
    snapshot_revision: int = 0
    after_key: str = ''
    stamp_ms: int | None = None
