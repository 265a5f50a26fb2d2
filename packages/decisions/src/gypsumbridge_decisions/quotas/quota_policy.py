"""Policy of the quota decisions."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class QuotaPolicy:
    """This node, the bounds on what quotas let through, and their holders.

    In each window of `window_ms` the nodes together may exceed a quota by the
    share `overshoot` and by `slack` requests. Each quota is divided among
    `partitions`. A holder grants for `holder_ttl_ms` after its copy of the
    store was proven current. With `first_start`, no process of the system has
    run before.
    """

    node_id: str
    failure_domain: str
    window_ms: int
    overshoot: float
    slack: float
    partitions: int
    holder_ttl_ms: int
    first_start: bool = False
