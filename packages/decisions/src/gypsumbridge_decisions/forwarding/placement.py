"""Where a request may run, and what may be sent to a searcher.

All code that sends or plans attempts asks this module: an operator evacuates
failure domains, and routes and customers may have home regions.
"""

from collections.abc import Iterable

from gypsumbridge_decisions.forwarding import caller_request
from gypsumbridge_decisions.forwarding import policy as policies
from gypsumbridge_decisions.forwarding import route as routes
from gypsumbridge_decisions.forwarding import route_table
from gypsumbridge_decisions.forwarding import searcher as searchers
from gypsumbridge_decisions.forwarding import searcher_health
from gypsumbridge_decisions.relaying import peer_node

# The failure domains to which a request is restricted; None without homes.
Domains = frozenset[str] | None
NOWHERE: frozenset[str] = frozenset()


def allowed_domains(
    policy: policies.ForwardingPolicy,
    table: route_table.RouteTable | None,
    request: caller_request.CallerRequest,
    route: routes.Route,
) -> Domains:
    """Return the failure domains in the homes of the route and the customer.

    Both restrict the request. It may run nowhere if its customer is not among
    those of `table`, since that customer's homes are unknown.
    """
    homes = [frozenset(route.homes)] if route.homes else []
    customers = table.customers if table is not None else None
    if request.customer and customers is not None:
        found = customers.customers.get(request.customer)
        if found is None:
            return NOWHERE
        if found.homes:
            homes.append(frozenset(found.homes))
    if not homes:
        return None
    regions = frozenset.intersection(*homes)
    return frozenset(
        domain
        for domain, region in policy.regions.items()
        if region in regions
    )


def may_be_sent(
    candidate: searchers.Searcher,
    health: searcher_health.SearcherHealth,
    domains: Domains,
    now_ms: int,
) -> bool:
    """Return whether a request with these homes may be sent to a searcher."""
    if candidate.draining:
        return False
    if domains is not None and candidate.failure_domain not in domains:
        return False
    return health.may_be_sent_requests(now_ms)


def placed(
    candidates: Iterable[searchers.Searcher],
    health: dict[str, searcher_health.SearcherHealth],
    domains: Domains,
) -> list[searchers.Searcher]:
    """Return the searchers at home and outside evacuated failure domains."""
    return [
        candidate
        for candidate in candidates
        if not health[candidate.searcher_id].evacuated
        and (domains is None or candidate.failure_domain in domains)
    ]


def placed_nodes(
    nodes: Iterable[peer_node.PeerNode], domains: Domains
) -> Iterable[peer_node.PeerNode]:
    """Return the nodes to which a request with these homes may be sent."""
    if domains is None:
        return nodes
    return [node for node in nodes if node.failure_domain in domains]
