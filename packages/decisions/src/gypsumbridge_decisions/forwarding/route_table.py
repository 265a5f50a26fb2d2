"""One version of all declared routes."""

from collections.abc import Mapping
import dataclasses
import functools

from gypsumbridge_decisions.forwarding import customer_table
from gypsumbridge_decisions.forwarding import ingress_limits
from gypsumbridge_decisions.forwarding import route


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """Routes by host and prefix, and the connection limit of each service.

    `connection_limits` bounds the connections to one searcher, over all
    nodes together. Without `customers`, no request needs a key.
    """

    version: int
    routes: Mapping[str, Mapping[str, route.Route]]
    connection_limits: Mapping[str, int]
    limits: ingress_limits.IngressLimits
    customers: customer_table.CustomerTable | None = None

    @functools.cached_property
    def services(self) -> frozenset[str]:
        """The services that are targets of a route."""
        return frozenset(
            target.service
            for by_prefix in self.routes.values()
            for found in by_prefix.values()
            for target in found.targets
        )

    @functools.cached_property
    def gathered(self) -> frozenset[tuple[str, ...]]:
        """The sets of services from which requests are gathered."""
        return frozenset(
            tuple(target.service for target in found.targets)
            for by_prefix in self.routes.values()
            for found in by_prefix.values()
            if found.gather is not None
        )

    @functools.cached_property
    def fetched(self) -> frozenset[str]:
        """The services of idempotent requests to one searcher."""
        return frozenset(
            target.service
            for by_prefix in self.routes.values()
            for found in by_prefix.values()
            if found.gather is None and found.idempotent
            for target in found.targets
        )


def find_route(table: RouteTable, host: str, path: str) -> route.Route | None:
    """Return the route with the longest prefix of a path, or None.

    Prefixes end with a slash, so only the slashes of the path are tried.
    """
    by_prefix = table.routes.get(host)
    if by_prefix is None:
        return None
    end = path.rfind('/')
    while end >= 0:
        found = by_prefix.get(path[: end + 1])
        if found is not None:
            return found
        end = path.rfind('/', 0, end)
    return None
