"""Settings of the forwarding decisions."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ForwardingPolicy:
    """What the deployment prescribes.

    `extra_ratio` and `extra_allowance` bound the attempts beyond the first
    of each request, for each service and window of `window_ms`, over all
    nodes together.
    """

    failure_domain: str
    extra_ratio: float
    extra_allowance: float
    window_ms: int
