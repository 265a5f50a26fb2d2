"""The coordinators of all routes."""

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
# Requests to one searcher are placed at coordinators if there are this many
# nodes for each slot of the service. While all slots are busy, a node then
# sees a quarter of one slot's requests or less, spread over all searchers:
# with 90 ms of work, less than one from each of three searchers within the
# 3 s after which a measurement has lost its weight.
MIN_NODES_PER_SLOT = 4


class Coordination:
    """The plan of each service, from this node's point of view.

    `plans` holds those of gathers, `placements` those of idempotent requests
    to one searcher where it pays to delegate them. No
    plan relies on the searchers of `evacuated` failure domains.
    """

    def __init__(self, own_id: str, places_requests: bool = False) -> None:
        self.own_id = own_id
        self.places_requests = places_requests
        self.nodes: tuple[peer_node.PeerNode, ...] = ()
        self.evacuated: frozenset[str] = frozenset()
        self.plans: dict[str, coordinator_plan.CoordinatorPlan] = {}
        self.placements: dict[str, coordinator_plan.CoordinatorPlan] = {}

    def refresh(
        self,
        table: route_table.RouteTable | None,
        searchers_by_service: Mapping[str, Sequence[searchers.Searcher]],
    ) -> None:
        """Recompute the plans after a change of what they depend on."""
        self.plans = {}
        self.placements = {}
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
        if self.places_requests and table.customers is not None:
            self._place(table.fetched, searchers_by_service)

    def _place(
        self,
        services: frozenset[str],
        searchers_by_service: Mapping[str, Sequence[searchers.Searcher]],
    ) -> None:
        """Plan the coordinators of requests to one searcher."""
        for service in services:
            slots = sum(
                searcher.slots
                for searcher in searchers_by_service.get(service, ())
                if not searcher.draining
            )
            if not slots or len(self.nodes) < MIN_NODES_PER_SLOT * slots:
                continue
            plan = self.plans.get(service)
            if plan is None:
                plan = coordinator_plan.plan_coordinators(
                    (service,),
                    searchers_by_service,
                    self.nodes,
                    self.own_id,
                    self.evacuated,
                )
            if plan.is_shared:
                self.placements[service] = plan

    def plan_for(self, service: str) -> coordinator_plan.CoordinatorPlan:
        """Return the plan of a service; any node forwards to others."""
        return self.plans.get(service, coordinator_plan.ALONE)

    def count_placing(self, service: str) -> int:
        """Return at how many nodes requests to a service are placed.

        It is one unless the service is gathered from, or is placed nowhere.
        """
        if service not in self.plans or service not in self.placements:
            return 1
        return self.placements[service].count()

    def count_sharers(self, service: str, fleet_size: int) -> float:
        """Return the divisor that gives this node's share of a limit.

        The limit applies to all nodes together.
        """
        plan = self.placements.get(service, self.plan_for(service))
        if not plan.is_shared:
            return fleet_size
        if plan.gathers_itself:
            return plan.count() / COORDINATOR_SHARE
        return fleet_size / (1.0 - COORDINATOR_SHARE)
