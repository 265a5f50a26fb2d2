"""Encodes requests to endpoints."""

import urllib.parse

from gypsumbridge_decisions import messages
from gypsumbridge_wire import http_request
from gypsumbridge_wire.endpoint import fields


def encode_check() -> http_request.HttpRequest:
    """Return the HTTP request of a health check."""
    return http_request.HttpRequest('GET', fields.HEALTH_PATH, {}, b'')


def encode_request(
    request: messages.EndpointRequest,
) -> http_request.HttpRequest:
    """Return the HTTP request that runs a search or a mutation."""
    headers = {
        fields.VERSION_HEADER: request.version,
        fields.DEADLINE_HEADER: str(request.remaining_ms),
        'Content-Type': 'application/json',
    }
    template = fields.SEARCH_PATH
    if request.idempotency_key:
        template = fields.APPLY_PATH
        headers[fields.KEY_HEADER] = request.idempotency_key
    shard = urllib.parse.quote(request.shard, safe='')
    return http_request.HttpRequest(
        'POST', template.format(shard=shard), headers, request.body
    )
