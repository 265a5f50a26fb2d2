"""Policy of the forwarding decisions."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True)
class ForwardingPolicy:
    """This node's id and failure domain, and the limits on extra attempts.

    `retry_ratio` and `retry_allowance` bound the attempts beyond the first
    of each request, for each service and window of `window_ms`, over all
    nodes together. `regions` maps each failure domain to its region.
    With `control_load`, requests wait for room at searchers where the
    configuration has customers.
    """

    node_id: str
    failure_domain: str
    retry_ratio: float
    retry_allowance: float
    window_ms: int
    regions: Mapping[str, str] = dataclasses.field(default_factory=dict)
    control_load: bool = False
