"""Update of the routes in force."""

import dataclasses

from gypsumbridge_decisions.forwarding import route_table


@dataclasses.dataclass(frozen=True)
class RoutesChanged:
    """A newer version of the routes."""

    table: route_table.RouteTable
