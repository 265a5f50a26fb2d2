"""Choice of the nodes that gather the parts of requests."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from gypsumbridge_decisions.forwarding import searcher as searchers
from gypsumbridge_decisions.relaying import peer_node

# A failure domain has coordinators if at least this share of the services has
# a searcher there, compared with the domain that has most.
MIN_COVERED_SHARE = 0.8
# A node is a coordinator if it has at least this share of the capacity of the
# largest one in those failure domains.
MIN_CAPACITY_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class CoordinatorPlan:
    """Where requests to a set of services are gathered.

    The parts of a gather cost a node much processor time and bandwidth, and
    traffic between failure domains is billed. Nodes with little capacity, or
    without searchers in their failure domain, therefore delegate gathers to
    `nearby` coordinators, those in their own failure domain, or to `remote`
    ones. A node that `gathers_itself` is a coordinator, or knows none. The
    work `is_shared` unless every node is one.
    """

    gathers_itself: bool
    is_shared: bool = False
    nearby: tuple[peer_node.PeerNode, ...] = ()
    remote: tuple[peer_node.PeerNode, ...] = ()

    def count(self) -> int:
        """Return the number of coordinators."""
        return len(self.nearby) + len(self.remote)

    def coordinators_in(self, domain: str) -> list[peer_node.PeerNode]:
        """Return the coordinators in a failure domain."""
        return [
            node
            for node in (*self.nearby, *self.remote)
            if node.failure_domain == domain
        ]


ALONE = CoordinatorPlan(gathers_itself=True)


def plan_coordinators(
    services: Iterable[str],
    searchers_by_service: Mapping[str, Sequence[searchers.Searcher]],
    nodes: Sequence[peer_node.PeerNode],
    own_id: str,
    evacuated: frozenset[str] = frozenset(),
) -> CoordinatorPlan:
    """Return the plan for the gathers from a set of services.

    Nodes with the same information compute the same coordinators.
    """
    domains = covered_domains(services, searchers_by_service, evacuated)
    found = [
        node
        for node in nodes
        if node.gather_address and node.failure_domain in domains
    ]
    own = next((node for node in nodes if node.node_id == own_id), None)
    if own is None or not found:
        return ALONE
    least = MIN_CAPACITY_SHARE * max(node.capacity for node in found)
    found = [node for node in found if node.capacity >= least]
    domain = own.failure_domain
    return CoordinatorPlan(
        own in found,
        len(found) < len(nodes),
        tuple(node for node in found if node.failure_domain == domain),
        tuple(node for node in found if node.failure_domain != domain),
    )


def covered_domains(
    services: Iterable[str],
    searchers_by_service: Mapping[str, Sequence[searchers.Searcher]],
    evacuated: frozenset[str],
) -> frozenset[str]:
    """Return the usable failure domains with searchers of most services."""
    covered: collections.Counter[str] = collections.Counter()
    for service in services:
        covered.update(
            {
                searcher.failure_domain
                for searcher in searchers_by_service.get(service, ())
                if not searcher.draining
                and searcher.failure_domain not in evacuated
            }
        )
    least = MIN_COVERED_SHARE * max(covered.values(), default=0)
    return frozenset(name for name, n in covered.items() if n >= least)
