"""The coordinators of all gather routes."""

from collections.abc import Mapping
from collections.abc import Sequence

from gypsumbridge_decisions.forwarding import coordinator_plan
from gypsumbridge_decisions.forwarding import route_table
from gypsumbridge_decisions.forwarding import searcher as searchers
from gypsumbridge_decisions.relaying import peer_node

# While only some nodes gather, the coordinators use this share of the limits
# that all nodes have together. The rest is for nodes that lose contact with
# the coordinators and gather by themselves.
COORDINATOR_SHARE = 0.7


class Coordination:
    """The plan of each gathered service, from this node's point of view.

    No plan relies on the searchers of `evacuated` failure domains.
    """

    def __init__(self, own_id: str) -> None:
        self.own_id = own_id
        self.nodes: tuple[peer_node.PeerNode, ...] = ()
        self.evacuated: frozenset[str] = frozenset()
        self.plans: dict[str, coordinator_plan.CoordinatorPlan] = {}

    def refresh(
        self,
        table: route_table.RouteTable | None,
        searchers_by_service: Mapping[str, Sequence[searchers.Searcher]],
    ) -> None:
        """Recompute the plans after a change of what they depend on."""
        self.plans = {}
        if table is None:
            return
        for services in table.gathered:
            plan = coordinator_plan.plan_coordinators(
                services,
                searchers_by_service,
                self.nodes,
                self.own_id,
                self.evacuated,
            )
            self.plans.update(dict.fromkeys(services, plan))

    def plan_for(self, service: str) -> coordinator_plan.CoordinatorPlan:
        """Return the plan of a service; any node forwards to others."""
        return self.plans.get(service, coordinator_plan.ALONE)

    def count_sharers(self, service: str, fleet_size: int) -> float:
        """Return the divisor that gives this node's share of a limit.

        The limit applies to all nodes together.
        """
        plan = self.plan_for(service)
        if not plan.is_shared:
            return fleet_size
        if plan.gathers_itself:
            return plan.count() / COORDINATOR_SHARE
        return fleet_size / (1.0 - COORDINATOR_SHARE)
