"""Asks a node for what it knows of the configuration."""

import dataclasses

from gypsumbridge_decisions.messages import subtree_report


@dataclasses.dataclass(frozen=True)
class ConfigPull:
    """Answered by a `ConfigState` with the same token.

    `after_key` continues a snapshot of `snapshot_revision`. The reply has
    domain summaries unless their digest equals `digest`. `stamp_ms` is
    from the receiver's last reply to this sender.
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
