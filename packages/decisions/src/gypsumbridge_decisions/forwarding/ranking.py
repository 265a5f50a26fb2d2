"""The rank that applies to a request."""

from gypsumbridge_decisions.forwarding import caller_request
from gypsumbridge_decisions.forwarding import route as routes


def rank_of(request: caller_request.CallerRequest, route: routes.Route) -> int:
    """Return the rank of the request's customer, or else the route's."""
    return route.rank if request.rank is None else request.rank
