"""HTTP client for servers given by IP address."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.web import client
from twisted.web import http_headers

from gypsumbridge_node import body_collector
from gypsumbridge_node import bytes_producer
from gypsumbridge_node import http_response
from gypsumbridge_node import ip_endpoint_factory
from gypsumbridge_wire import http_request

# A server that sends more is disconnected.
MAX_RESPONSE_BYTES = 8 * 1_048_576

Call = Callable[
    [str, int, http_request.HttpRequest],
    'defer.Deferred[http_response.HttpResponse]',
]


def make_pool(reactor: Any, connections: int) -> client.HTTPConnectionPool:
    """Return a pool that keeps up to `connections` idle connections.

    The pool never retries a request: whether a retry is safe is decided by
    the task that sent it.
    """
    pool = client.HTTPConnectionPool(reactor, persistent=True)
    pool.maxPersistentPerHost = connections
    pool.retryAutomatically = False
    return pool


def make_call(
    reactor: Any, pool: client.HTTPConnectionPool, connect_timeout_ms: int
) -> Call:
    """Return a function that sends one request and reads the response.

    Cancelling its Deferred closes the connection.
    """
    agent = client.Agent.usingEndpointFactory(
        reactor,
        ip_endpoint_factory.IpEndpointFactory(reactor, connect_timeout_ms),
        pool,
    )

    async def send(
        address: str, port: int, request: http_request.HttpRequest
    ) -> http_response.HttpResponse:
        headers = http_headers.Headers(
            {name: [value] for name, value in request.headers.items()}
        )
        body = None
        if request.body or request.method in ('POST', 'PUT'):
            body = bytes_producer.BytesProducer(request.body)
        response = await agent.request(
            request.method.encode(),
            f'http://{address}:{port}{request.path}'.encode(),
            headers,
            body,
        )
        content = await body_collector.collect_body(
            response, MAX_RESPONSE_BYTES
        )
        return http_response.HttpResponse(
            status=response.code,
            headers={
                name.decode('latin-1').lower(): values[0].decode('latin-1')
                for name, values in response.headers.getAllRawHeaders()
            },
            body=content,
        )

    def call(
        address: str, port: int, request: http_request.HttpRequest
    ) -> 'defer.Deferred[http_response.HttpResponse]':
        return defer.Deferred.fromCoroutine(send(address, port, request))

    return call
