"""Encoding of HTTP/1.1 requests and responses."""

from collections.abc import Iterable
import http

from gypsumbridge_node.gateway import http_request

CONTENT_LENGTH = 'content-length'
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}


def encode_request(request: http_request.HttpRequest, host: str) -> bytes:
    """Return a complete request; `host` is used if it has no Host header."""
    return encode_open_head(request, host) + b'\r\n' + request.body


def encode_open_head(request: http_request.HttpRequest, host: str) -> bytes:
    """Return the head of a request without the empty line that ends it."""
    lines = [f'{request.method} {request.target} HTTP/1.1']
    if not any(key.lower() == 'host' for key, _ in request.headers):
        lines.append(f'Host: {host}')
    lines += [f'{key}: {value}' for key, value in request.headers]
    if request.body or request.method not in ('GET', 'HEAD', 'DELETE'):
        lines.append(f'Content-Length: {len(request.body)}')
    return ('\r\n'.join(lines) + '\r\n').encode('latin-1')


def encode_interim(status: int) -> bytes:
    """Return an interim response (1xx), which has no headers."""
    return f'HTTP/1.1 {status} {_REASONS[status]}\r\n\r\n'.encode('latin-1')


def encode_response(
    status: int, headers: Iterable[tuple[str, str]], body: bytes, close: bool
) -> bytes:
    """Return a complete response with its Content-Length.

    A response without a body may have that header already.
    """
    headers = tuple(headers)
    lines = [f'HTTP/1.1 {status} {_REASONS.get(status, "Unknown")}']
    lines += [f'{key}: {value}' for key, value in headers]
    if body or all(key != CONTENT_LENGTH for key, _ in headers):
        lines.append(f'Content-Length: {len(body)}')
    if close:
        lines.append('Connection: close')
    head = '\r\n'.join(lines) + '\r\n\r\n'
    return head.encode('latin-1') + body
