"""Which searchers get a connection before the first request."""

from gypsumbridge_decisions.forwarding import route_table
from gypsumbridge_decisions.forwarding import searcher as searchers


def is_kept_warm(
    searcher: searchers.Searcher,
    table: route_table.RouteTable,
    nodes: int,
    own_domain: str,
) -> bool:
    """Return whether a node keeps a connection to a searcher open.

    Every node does where the declared limit has room for all of them.
    Otherwise only nodes of the searcher's failure domain do, which send it
    most of its requests.
    """
    if searcher.draining or searcher.service not in table.services:
        return False
    limit = table.connection_limits.get(searcher.service, 0)
    return limit >= nodes or searcher.failure_domain == own_domain
