"""The check of callers' keys against the customers of the configuration."""

import dataclasses

from gypsumbridge_decisions.forwarding import arrival
from gypsumbridge_decisions.forwarding import caller_request
from gypsumbridge_decisions.forwarding import checked_request
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import refusing
from gypsumbridge_decisions.forwarding import route as routes
from gypsumbridge_decisions.forwarding import route_table
from gypsumbridge_decisions.forwarding import state as states

STATUS_UNKNOWN_KEY = 401


def check_customer(
    table: route_table.RouteTable,
    route: routes.Route,
    request: caller_request.CallerRequest,
) -> checked_request.CheckedRequest | None:
    """Return the request with its customer, or None without a known key.

    A request for a public route needs none. The digest is removed, so that
    nothing after the check can pass it on.
    """
    found = None
    if table.customers is not None:
        found = table.customers.find(request.key_digest)
        if found is None and not route.public:
            return None
    if found is not None:
        request = dataclasses.replace(
            request, key_digest=b'', customer=found.name, rank=found.rank
        )
    elif request.key_digest:
        request = dataclasses.replace(request, key_digest=b'')
    return checked_request.CheckedRequest(request, route, table.version, found)


def refuse_unknown_key(
    state: states.ForwardingState,
    table: route_table.RouteTable,
    request: caller_request.CallerRequest,
    boot_ms: int,
) -> list[command.Command]:
    """Reject a request without a known key.

    A node that may be behind refuses it, since the key may have been added,
    or the route made public, in a version that it does not have yet.
    """
    fields = {
        'version': table.version,
        'key': 'unknown' if request.key_digest else 'absent',
    }
    if state.freshness.may_be_behind(table.version, boot_ms):
        return refusing.refuse(request, 'maybe_unknown_key', fields)
    return refusing.reject(request, STATUS_UNKNOWN_KEY, 'unknown_key', fields)


def refuse_unknown_route(
    state: states.ForwardingState,
    table: route_table.RouteTable,
    request: caller_request.CallerRequest,
    boot_ms: int,
) -> list[command.Command]:
    """Reject a request that no route matches.

    Where there are customers, a node that may be behind refuses it, since
    the route may have been added in a version that it does not have yet.
    """
    fields = {'version': table.version}
    if table.customers is not None:
        if state.freshness.may_be_behind(table.version, boot_ms):
            return refusing.refuse(request, 'maybe_unknown_route', fields)
    return refusing.reject(
        request, arrival.STATUS_NO_ROUTE, 'no_route', fields
    )
