"""Responses to requests that are not sent to any searcher."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import types

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.forwarding import caller_request
from gypsumbridge_decisions.forwarding import caller_response
from gypsumbridge_decisions.forwarding import command
from gypsumbridge_decisions.forwarding import retry_delay

STATUS_UNAVAILABLE = 503
# A gather may lack dozens of services for the same reason.
MAX_LOGGED_SERVICES = 5
NO_FIELDS: Mapping[str, str | int] = types.MappingProxyType({})


def refuse(
    request: caller_request.CallerRequest,
    reason: str,
    fields: Mapping[str, str | int] = NO_FIELDS,
    status: int = STATUS_UNAVAILABLE,
    retry_after_ms: int = retry_delay.OTHER_NODE_MS,
) -> list[command.Command]:
    """Refuse a request that was not sent to any searcher."""
    return [
        caller_response.CallerResponse(
            request.call_id, status, retry_after_ms=retry_after_ms
        ),
        messages.Decision(
            'request_refused',
            reason,
            {'request_id': request.request_id, **fields},
        ),
        messages.Count(f'forwarding.refused.{reason}'),
    ]


def log_unplaced(
    request: caller_request.CallerRequest,
    route: str,
    reason: str,
    services: Sequence[str],
    domains: Iterable[str],
) -> list[command.Command]:
    """Log and count a request without a searcher in a usable place.

    `services` are those without one; `domains` are the failure domains that
    are evacuated, or those of the request's homes.
    """
    return [
        messages.Decision(
            'request_refused',
            reason,
            {
                'request_id': request.request_id,
                'route': route,
                'customer': request.customer,
                'services': ','.join(services[:MAX_LOGGED_SERVICES]),
                'services_without_searcher': len(services),
                'failure_domains': ','.join(sorted(domains)),
            },
        ),
        messages.Count(f'forwarding.refused.{reason}'),
    ]


def reject(
    request: caller_request.CallerRequest,
    status: int,
    reason: str,
    fields: Mapping[str, str | int] = NO_FIELDS,
) -> list[command.Command]:
    """Reject a request that would fail again if it were retried."""
    return [
        caller_response.CallerResponse(request.call_id, status),
        messages.Decision(
            'request_rejected',
            reason,
            {
                'request_id': request.request_id,
                'host': request.host,
                'target': request.target,
                **fields,
            },
        ),
        messages.Count(f'forwarding.rejected.{reason}'),
    ]
