"""A declared route from callers to services."""

import dataclasses

from gypsumbridge_decisions.forwarding import gather_rule
from gypsumbridge_decisions.forwarding import weighted_service


@dataclasses.dataclass(frozen=True)
class Route:
    """Applies to requests for `host` whose path begins with `prefix`.

    With `gather`, a request is sent to every target and the parts are
    merged; otherwise it is sent to one target, chosen in proportion to the
    weights. Requests of an `idempotent` route may run more than once.
    `objective_ms` is the latency within which a response has its full
    value, `timeout_ms` the longest time until the final response, `rank`
    the urgency (0 is most urgent) and `max_attempts` the maximum number of
    searchers of one service on which a request may run. Requests of a
    `public` route need no key. With `homes`, requests run only in these
    regions.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    targets: tuple[weighted_service.WeightedService, ...]
    timeout_ms: int
    objective_ms: int
    rank: int
    max_attempts: int
    gather: gather_rule.GatherRule | None = None
    public: bool = False
    homes: tuple[str, ...] = ()
