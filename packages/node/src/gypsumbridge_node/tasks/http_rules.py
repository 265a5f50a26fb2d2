"""What all requests of callers have in common."""

from typing import Any

from gypsumbridge_decisions import errors

JSON = b'application/json'


def check_request(request: Any, method: bytes) -> None:
    """Raise RequestError for a wrong method or a body over the limit."""
    if request.method != method:
        raise errors.RequestError(
            f'the method is {request.method.decode("latin-1")}',
            f'use {method.decode()}',
        )
    if request.too_large:
        raise errors.RequestError(
            f'the body has more than {request.max_body_bytes} bytes',
            'send a smaller body',
        )


def respond(request: Any, encoded: tuple[int, bytes]) -> bytes:
    """Set status and headers and return the body."""
    status, body = encoded
    request.setResponseCode(status)
    request.setHeader(b'Content-Type', JSON)
    return body
