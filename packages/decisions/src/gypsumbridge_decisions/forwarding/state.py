"""State of the forwarding task."""

from gypsumbridge_decisions.forwarding import answer_delay
from gypsumbridge_decisions.forwarding import attempt
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
    is the moving average of the delay with which timers are handled.
    """

    def __init__(
        self, policy: policies.ForwardingPolicy, started_ms: int
    ) -> None:
        self.policy = policy
        self.started_ms = started_ms
        self.nodes = ASSUMED_NODES
        self.table: route_table.RouteTable | None = None
        self.searchers: dict[str, list[searcher.Searcher]] = {}
        self.health: dict[str, searcher_health.SearcherHealth] = {}
        self.exchanges: dict[int, exchange.Exchange] = {}
        self.attempts: dict[int, attempt.Attempt] = {}
        self.last_attempt_id = 0
        self.budgets: dict[str, retry_budget.RetryBudget] = {}
        self.latencies: dict[str, latency_window.LatencyWindow] = {}
        self.splits: dict[str, split.Split] = {}
        self.draining = False
        self.timer_lag_ms = 0.0
        self.answer_delays: dict[str, answer_delay.AnswerDelay] = {}


def make_forwarding_state(
    policy: policies.ForwardingPolicy, started_ms: int
) -> ForwardingState:
    """Return the state of a node whose process started at `started_ms`."""
    return ForwardingState(policy, started_ms)
