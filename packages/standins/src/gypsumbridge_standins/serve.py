"""Starts an HTTP server that calls one function for each request."""

from collections.abc import Callable
import json
from typing import Any

from twisted.web import server

from gypsumbridge_node import function_resource


def listen(reactor: Any, port: int, handle: Callable[[Any], Any]) -> Any:
    """Listen on loopback and call `handle` for every request."""
    site = server.Site(function_resource.FunctionResource(handle))
    return reactor.listenTCP(port, site, interface='127.0.0.1')


def encode_json_reply(request: Any, status: int, body: Any) -> bytes:
    """Set status and content type and return the JSON body."""
    request.setResponseCode(status)
    request.setHeader(b'Content-Type', b'application/json')
    return json.dumps(body).encode()


def query_argument(request: Any, name: str, default: str = '') -> str:
    """Return the first value of a query argument."""
    values = request.args.get(name.encode())
    return values[0].decode() if values else default
