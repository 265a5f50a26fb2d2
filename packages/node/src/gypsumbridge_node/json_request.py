"""Helpers for HTTP requests with JSON bodies."""

from typing import Any

from gypsumbridge_decisions import errors

JSON = b'application/json'


def check(request: Any, methods: tuple[bytes, ...]) -> None:
    """Raise an error for another method or for a body over the limit."""
    if request.method not in methods:
        names = ' or '.join(method.decode() for method in methods)
        request.setHeader(b'Allow', b', '.join(methods))
        raise errors.MethodNotAllowedError(
            f'the method is {request.method[:32].decode("latin-1")!r}',
            f'use {names}',
        )
    if request.too_large:
        raise errors.TooLargeError(
            f'the body has more than {request.max_body_bytes} bytes',
            'send a smaller body',
        )


def respond(request: Any, encoded: tuple[int, bytes]) -> bytes:
    """Set status and headers and return the body."""
    status, body = encoded
    request.setResponseCode(status)
    request.setHeader(b'Content-Type', JSON)
    request.setHeader(b'Content-Length', str(len(body)).encode())
    return body


def path(request: Any) -> str:
    """Return the path without its query string."""
    return request.path.decode('latin-1')


def header(request: Any, name: str) -> str:
    """Return a header's value, or the empty string."""
    return request.getHeader(name) or ''


def number(request: Any, name: str, default: int | None, high: int) -> int:
    """Return a query argument from 0 to `high`.

    Raises RequestError for any other value, and for a missing argument
    when there is no default.
    """
    values = request.args.get(name.encode())
    if not values and default is not None:
        return default
    text = values[0].decode('latin-1') if values else ''
    if text.isascii() and text.isdigit() and len(text) < 20:
        if int(text) <= high:
            return int(text)
    raise errors.RequestError(
        f'{name} is {text[:32]!r}', f'use a whole number from 0 to {high}'
    )
