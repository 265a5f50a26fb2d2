"""Encodes calls to the configuration store as HTTP requests."""

import urllib.parse

from gypsumbridge_decisions import messages
from gypsumbridge_wire import http_request

KEY_PATH = '/v1/keys/'
LIST_PATH = '/v1/list'
WATCH_PATH = '/v1/watch'
REVISION_PATH = '/v1/revision'

_METHODS = {
    messages.StoreOperation.WRITE: 'PUT',
    messages.StoreOperation.DELETE: 'DELETE',
}


def encode_call(request: messages.StoreRequest) -> http_request.HttpRequest:
    """Return the HTTP request of a store call."""
    method = _METHODS.get(request.operation, 'GET')
    return http_request.HttpRequest(
        method, _path(request), {}, request.value.encode()
    )


def _path(request: messages.StoreRequest) -> str:
    operations = messages.StoreOperation
    key = urllib.parse.quote(request.key, safe='')
    if request.operation == operations.READ:
        return KEY_PATH + key
    if request.operation in _METHODS:
        return f'{KEY_PATH}{key}?if_revision={request.expected_revision}'
    if request.operation == operations.LIST:
        return f'{LIST_PATH}?prefix={key}'
    if request.operation == operations.WATCH:
        return (
            f'{WATCH_PATH}?prefix={key}&after={request.after_revision}'
            f'&wait_ms={request.wait_ms}'
        )
    return REVISION_PATH
