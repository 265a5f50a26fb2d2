"""State of the quotas task."""

from collections.abc import Mapping

from gypsumbridge_decisions.quotas import ask
from gypsumbridge_decisions.quotas import back_off
from gypsumbridge_decisions.quotas import customer_limits
from gypsumbridge_decisions.quotas import demand
from gypsumbridge_decisions.quotas import log_limiter
from gypsumbridge_decisions.quotas import partition_order
from gypsumbridge_decisions.quotas import partition_state
from gypsumbridge_decisions.quotas import quota
from gypsumbridge_decisions.quotas import quota_policy
from gypsumbridge_decisions.relaying import peer_node


class QuotaState:
    """Everything that the quotas task owns, on the clock of the boot.

    `quotas` are those of the configuration `version`, and `limits` what they
    mean for each customer with a limit. In `repartitioned_ms` is when the
    number of a customer's partitions last changed. The copy of the store is
    of `era`, has entries of the `listed` partitions and was the newest at
    `proven_ms`. `waiting` holds the customer of each waiting request, and
    `asks` the requests to holders that have not ended.
    """

    def __init__(self, policy: quota_policy.QuotaPolicy) -> None:
        self.policy = policy
        self.version: int | None = None
        self.quotas: Mapping[str, quota.Quota] = {}
        self.limits: dict[str, customer_limits.CustomerLimits] = {}
        self.repartitioned_ms: dict[str, int] = {}
        self.orders: dict[str, tuple[int, ...]] = {}
        self.nodes: dict[str, peer_node.PeerNode] = {}
        self.candidates: dict[int, tuple[str, ...]] = {}
        self.era = 0
        self.listed: frozenset[int] = frozenset()
        self.era_changed = False
        self.proven_ms: int | None = None
        self.partitions = [
            partition_state.PartitionState(number)
            for number in range(policy.partitions)
        ]
        self.demands: dict[str, demand.Demand] = {}
        self.waiting: dict[int, str] = {}
        self.asks: dict[int, ask.Ask] = {}
        self.last_ask_id = 0
        self.back_off = back_off.BackOff()
        self.refusal_log = log_limiter.LogLimiter()
        self.timer_set = False

    def order(
        self, customer: str, limits: customer_limits.CustomerLimits
    ) -> tuple[int, ...]:
        """Return the partitions that a customer uses, in its own order."""
        found = self.orders.get(customer)
        if found is None:
            found = partition_order.order_partitions(
                customer, self.policy.partitions
            )
            self.orders[customer] = found
        return found[: limits.partitions]

    def peer(self, node_id: str) -> peer_node.PeerNode | None:
        """Return a node that can be asked for tokens, if it is known."""
        found = self.nodes.get(node_id)
        return found if found is not None and found.address else None

    def add_ask(self, request: ask.Ask) -> int:
        """Return the id of a new request to a holder."""
        self.last_ask_id += 1
        self.asks[self.last_ask_id] = request
        return self.last_ask_id


def make_quota_state(policy: quota_policy.QuotaPolicy) -> QuotaState:
    """Return the state of a process that has just started."""
    return QuotaState(policy)
