"""Closes persistent HTTP connections without losing a request."""

from typing import Any


def close_after_response(request: Any) -> None:
    """Close the request's connection once its response has been sent.

    The response has `Connection: close`, so the client sends no further
    request on the connection.
    """
    request.setHeader(b'Connection', b'close')
    request.channel.persistent = False
