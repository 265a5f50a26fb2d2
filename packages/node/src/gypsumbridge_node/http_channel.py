"""HTTP connections that answer malformed requests with JSON."""

from typing import Any

from twisted.web import http

from gypsumbridge_decisions import errors
from gypsumbridge_wire import operator


class JsonChannel(http.HTTPChannel):
    """Explains a request whose head cannot be read, then closes."""

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        # The parent class sends a status without a body here and has no
        # public hook for it.
        error = errors.RequestError(
            'the request line or a header is malformed or too long',
            f'send at most {self.totalHeadersSize} bytes of headers and'
            f' {self.maxHeaders} headers, in valid HTTP/1.1',
        )
        status, body = operator.encode_error(error)
        head = (
            f'HTTP/1.1 {status} Bad Request\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n'
            'Connection: close\r\n\r\n'
        )
        self.transport.write(head.encode() + body)
        self.loseConnection()


def make_channel(*_: Any) -> JsonChannel:
    """Return the protocol of one connection."""
    return JsonChannel()
