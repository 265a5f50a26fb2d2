"""Choice of the searchers to which a connection is opened in advance."""

from gypsumbridge_decisions.forwarding import choosing
from gypsumbridge_decisions.forwarding import coordinator_plan
from gypsumbridge_decisions.forwarding import route_table
from gypsumbridge_decisions.forwarding import searcher as searchers

# All nodes learn of a searcher or a route at the same moment, and opening a
# connection takes a searcher some milliseconds of a slot. A searcher whose
# queue is long resets connections below its declared limit, too.
SPACING_MS = 10
MAX_DELAY_MS = 10_000


def warm_up_delay_ms(node_id: str, searcher_id: str, nodes: int) -> int:
    """Return how long a node waits before it opens a connection in advance.

    The delays of `nodes` nodes are spread over a time that grows with them.
    """
    span_ms = min(nodes * SPACING_MS, MAX_DELAY_MS)
    share = choosing.preference(searcher_id, node_id)
    return int(span_ms * share / choosing.PREFERENCE_SPREAD)


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
