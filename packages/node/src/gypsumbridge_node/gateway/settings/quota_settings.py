"""The [quota] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class QuotaSettings:
    """Bounds on customers' quotas over all nodes, and their holders.

    In each window of `window_s` seconds the nodes together may exceed a
    quota by the share `overshoot` and by `slack` requests. A quota is divided
    among `partitions`, each with one holder node, which issues grants for
    `holder_ttl_s` seconds after its copy of the store was proven current.
    All nodes need the same values. `first_start` states that no process of
    the system has run before, so that holders need not wait for earlier ones.
    """

    window_s: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0
    partitions: int = 3
    holder_ttl_s: float = 30.0
    first_start: bool = False
