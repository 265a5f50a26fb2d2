"""Choice of the searchers to which a connection is opened in advance."""

from gypsumbridge_decisions.forwarding import coordinator_plan
from gypsumbridge_decisions.forwarding import route_table
from gypsumbridge_decisions.forwarding import searcher as searchers


def is_kept_warm(
    searcher: searchers.Searcher,
    table: route_table.RouteTable,
    nodes: int,
    own_domain: str,
    plan: coordinator_plan.CoordinatorPlan = coordinator_plan.ALONE,
) -> bool:
    """Return whether a node keeps a connection to a searcher open.

    Every node that gathers does if the declared connection limit allows one
    connection per node. Otherwise only the nodes of the searcher's failure
    domain do, which send most of its requests.
    """
    if searcher.draining or searcher.service not in table.services:
        return False
    if plan.is_shared:
        nodes = plan.count()
    limit = table.connection_limits.get(searcher.service, 0)
    return limit >= nodes or searcher.failure_domain == own_domain
