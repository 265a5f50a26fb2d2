"""A request whose customer is known."""

import dataclasses

from gypsumbridge_decisions.forwarding import caller_request
from gypsumbridge_decisions.forwarding import customer as customers
from gypsumbridge_decisions.forwarding import route as routes


@dataclasses.dataclass(frozen=True)
class CheckedRequest:
    """A request that may be run, with the route that applies to it.

    `request` names the customer and has no digest. `customer` is None where
    the configuration has no customers, and on a public route without a known
    key.
    """

    request: caller_request.CallerRequest
    route: routes.Route
    version: int
    customer: customers.Customer | None
