"""State of the forwarding task."""

from gypsumbridge_decisions.admission import room_state
from gypsumbridge_decisions.forwarding import answer_delay
from gypsumbridge_decisions.forwarding import attempt
from gypsumbridge_decisions.forwarding import checked_request
from gypsumbridge_decisions.forwarding import coordination
from gypsumbridge_decisions.forwarding import coordinator_health
from gypsumbridge_decisions.forwarding import copy_freshness
from gypsumbridge_decisions.forwarding import delegation
from gypsumbridge_decisions.forwarding import departed_searcher
from gypsumbridge_decisions.forwarding import exchange
from gypsumbridge_decisions.forwarding import latency_window
from gypsumbridge_decisions.forwarding import policy as policies
from gypsumbridge_decisions.forwarding import retry_budget
from gypsumbridge_decisions.forwarding import route_table
from gypsumbridge_decisions.forwarding import searcher
from gypsumbridge_decisions.forwarding import searcher_health
from gypsumbridge_decisions.forwarding import split

# The fleet size that is assumed until discovery reports the nodes.
ASSUMED_NODES = 12


class ForwardingState:
    """Everything that the forwarding task owns.

    `searchers` holds the searchers of each service; `latencies`, `splits`
    and `answer_delays` are keyed by the name of the route. `timer_lag_ms`
    is the moving average of the delay with which timers are handled,
    measured last at `timer_lag_at_ms`. `departed` holds the searchers
    without an entry whose health is kept.
    `previous_table` is kept for nodes that delegate with the older version.
    `coordinators` is keyed by node id, `delegations` by an id of their own;
    `delegated_calls` holds that id for each request delegated as a whole.
    `waiting` holds the requests that are not admitted yet, by call id, `room`
    the parts that wait for room at a searcher.
    """

    def __init__(
        self, policy: policies.ForwardingPolicy, started_ms: int
    ) -> None:
        self.policy = policy
        self.started_ms = started_ms
        self.nodes = ASSUMED_NODES
        self.table: route_table.RouteTable | None = None
        self.previous_table: route_table.RouteTable | None = None
        self.freshness = copy_freshness.CopyFreshness()
        self.coordination = coordination.Coordination(
            policy.node_id, policy.control_load
        )
        self.coordinators: dict[str, coordinator_health.CoordinatorHealth] = {}
        self.last_coordinator = 0
        self.last_delegation_id = 0
        self.delegations: dict[int, delegation.Delegation] = {}
        self.delegated_calls: dict[int, int] = {}
        self.searchers: dict[str, list[searcher.Searcher]] = {}
        self.health: dict[str, searcher_health.SearcherHealth] = {}
        self.departed: dict[str, departed_searcher.DepartedSearcher] = {}
        self.waiting: dict[int, checked_request.CheckedRequest] = {}
        self.room = room_state.RoomState()
        self.exchanges: dict[int, exchange.Exchange] = {}
        self.attempts: dict[int, attempt.Attempt] = {}
        self.last_attempt_id = 0
        self.budgets: dict[str, retry_budget.RetryBudget] = {}
        self.latencies: dict[str, latency_window.LatencyWindow] = {}
        self.splits: dict[str, split.Split] = {}
        self.draining = False
        self.timer_lag_ms = 0.0
        self.timer_lag_at_ms = started_ms
        self.answer_delays: dict[str, answer_delay.AnswerDelay] = {}

    def controls_load(self) -> bool:
        """Return whether requests wait here for room at searchers."""
        if not self.policy.control_load or self.table is None:
            return False
        return self.table.customers is not None

    def table_of(self, version: int) -> route_table.RouteTable | None:
        """Return the routes of a version, if it is one of the last two."""
        for table in (self.table, self.previous_table):
            if table is not None and table.version == version:
                return table
        return None

    def table_for(self, version: int) -> route_table.RouteTable | None:
        """Return the routes of a version, or else the newest ones."""
        return self.table_of(version) or self.table


def make_forwarding_state(
    policy: policies.ForwardingPolicy, started_ms: int
) -> ForwardingState:
    """Return the state of a node whose process started at `started_ms`."""
    return ForwardingState(policy, started_ms)
