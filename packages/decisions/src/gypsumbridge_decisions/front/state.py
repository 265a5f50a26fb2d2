"""State of the front task."""

from gypsumbridge_decisions import catalog
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import routing
from gypsumbridge_decisions.front import caller_shares
from gypsumbridge_decisions.front import check_latency
from gypsumbridge_decisions.front import hedge_budget
from gypsumbridge_decisions.front import levels
from gypsumbridge_decisions.front import running_query


class FrontState:
    """All state of the front task.

    The node refuses queries until `serving` allows them. `last_contact_ms`
    holds when each owner last sent a message. `monitored` holds the
    (query id, attempt) of the batches of each owner, oldest first, while
    its liveness timer is armed; `unresponsive` owners did not reply to a
    liveness check.
    """

    def __init__(self, node_id: str, owner_silence_ms: int) -> None:
        self.node_id = node_id
        self.owner_silence_ms = owner_silence_ms
        self.catalog = catalog.empty_catalog()
        self.ownership = routing.OwnershipCache()
        self.serving = messages.ServingChanged(
            messages.MissingReason.CONFIGURATION_STALE
        )
        self.running: dict[str, running_query.RunningQuery] = {}
        self.last_contact_ms: dict[str, int] = {}
        self.monitored: dict[str, dict[tuple[str, int], None]] = {}
        self.unresponsive: set[str] = set()
        self.check_latency = check_latency.CheckLatency()
        self.hedge_budgets: dict[str, hedge_budget.HedgeBudget] = {}
        self.levels = levels.Levels()
        self.caller_shares = caller_shares.CallerShares()

    def hedge_budget(self, service: str) -> hedge_budget.HedgeBudget:
        """Return the budget of a service, created on first use."""
        found = self.hedge_budgets.get(service)
        if found is None:
            found = hedge_budget.HedgeBudget()
            self.hedge_budgets[service] = found
        return found

    def owner_timeout_ms(self, now_ms: int) -> int:
        """Return the time without contact after which an owner is hedged.

        It is at least twice the recent reply latency of owners, so that a
        fleet that is slow as a whole is not treated as lost owners.
        """
        expected_ms = self.check_latency.expected_ms(now_ms)
        return max(self.owner_silence_ms, int(2 * expected_ms))


def make_front_state(node_id: str, owner_silence_ms: int) -> FrontState:
    """Return the initial state of a front.

    `owner_silence_ms` is the minimum time without contact after which an
    owner is hedged.
    """
    return FrontState(node_id, owner_silence_ms)
