"""Sends a request and reads its complete response."""

from typing import Any

from twisted.internet import defer
from twisted.internet import error
from twisted.web import client
from twisted.web import http_headers

from gypsumbridge_node import bytes_producer

# The errors of a request without a complete response.
FAILURES = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.ConnectionLost,
    error.ConnectionDone,
    error.DNSLookupError,
    client.ResponseFailed,
    client.PartialDownloadError,
    defer.CancelledError,
    defer.TimeoutError,
)


async def exchange(
    reactor: Any,
    agent: client.Agent,
    timeout_s: float,
    method: bytes,
    uri: str,
    headers: http_headers.Headers | None = None,
    body: bytes | None = None,
) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body of a complete response.

    Header names are in lower case. Raises one of `FAILURES` if there is no
    complete response within the timeout.
    """
    producer = None if body is None else bytes_producer.BytesProducer(body)
    exchange_deferred = defer.ensureDeferred(
        _exchange(agent, method, uri.encode(), headers, producer)
    )
    return await exchange_deferred.addTimeout(timeout_s, reactor)


async def _exchange(
    agent: client.Agent,
    method: bytes,
    uri: bytes,
    headers: http_headers.Headers | None,
    producer: Any,
) -> tuple[int, dict[str, str], bytes]:
    response = await agent.request(method, uri, headers, producer)
    data = await client.readBody(response)
    response_headers = {
        name.decode().lower(): b', '.join(values).decode()
        for name, values in response.headers.getAllRawHeaders()
    }
    return response.code, response_headers, data
