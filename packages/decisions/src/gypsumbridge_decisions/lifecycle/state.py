"""State of the lifecycle task."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.lifecycle import phase

SOURCES = frozenset(
    {'caller_http', 'front', 'owner', 'mutation', 'operator_http'}
)


class LifecycleState:
    """Everything that the lifecycle task owns.

    `sources` are the tasks that are polled for work in flight.
    `conditions` holds the last condition of each reporting task, and
    `in_flight` the replies to the current poll. `ready` is the state that
    `/readyz` reports.
    """

    def __init__(
        self,
        balancer_lag_ms: int,
        stop_bound_ms: int,
        sources: frozenset[str],
    ) -> None:
        self.sources = sources
        self.balancer_lag_ms = balancer_lag_ms
        self.stop_bound_ms = stop_bound_ms
        self.phase = phase.Phase.SERVING
        self.ready = False
        self.conditions: dict[str, messages.ServingCondition] = {}
        self.in_flight: dict[str, int] = {}


def make_lifecycle_state(
    balancer_lag_ms: int,
    stop_bound_ms: int,
    sources: frozenset[str] = SOURCES,
) -> LifecycleState:
    """Return the state of a node that has just started."""
    return LifecycleState(balancer_lag_ms, stop_bound_ms, sources)
