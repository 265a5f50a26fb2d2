"""HTTP connections that answer malformed requests with JSON."""

from collections.abc import Callable
from typing import Any

from twisted.python import failure
from twisted.web import http

from gypsumbridge_decisions import errors
from gypsumbridge_wire import operator

# Closing a socket with unread data resets the connection, and the caller
# would not receive the error. Its remaining data is read and discarded for
# this long first.
DISCARD_TIMEOUT_S = 5


class JsonChannel(http.HTTPChannel):
    """Answers a request whose head is malformed, then closes.

    `opened` is called with the channel when its connection opens, and
    `closed` when it closes.
    """

    def __init__(
        self,
        opened: 'Callable[[JsonChannel], None]',
        closed: 'Callable[[JsonChannel], None]',
    ) -> None:
        super().__init__()
        self.opened = opened
        self.closed = closed
        self.rejected = False

    def connectionMade(self) -> None:  # noqa: N802
        """Report the new connection."""
        self.opened(self)
        super().connectionMade()

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Report the end of the connection."""
        self.closed(self)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read data unless the request was rejected."""
        if not self.rejected:
            super().dataReceived(data)

    # The rest of a rejected request arrives line by line from the receiver's
    # buffer, and must not be parsed as another request.
    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Read a line of a head unless the request was rejected."""
        if not self.rejected:
            super().lineReceived(line)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read a part of a body unless the request was rejected."""
        if not self.rejected:
            super().rawDataReceived(data)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Reject a line that is longer than the receiver's buffer."""
        self._respondToBadRequestAndDisconnect()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        # The parent class sends a status without a body here, and has no
        # public hook to override instead.
        if self.rejected:
            return
        self.rejected = True
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
        self.transport.loseWriteConnection()
        self.setTimeout(DISCARD_TIMEOUT_S)


def make_channel_factory(
    channels: set[JsonChannel], report: Callable[[int], None]
) -> Callable[..., JsonChannel]:
    """Return a function that makes channels.

    Open channels are kept in `channels`; `report` is called with their
    number whenever it changes.
    """

    def opened(channel: JsonChannel) -> None:
        channels.add(channel)
        report(len(channels))

    def closed(channel: JsonChannel) -> None:
        channels.discard(channel)
        report(len(channels))

    def make_channel(*_: Any) -> JsonChannel:
        return JsonChannel(opened, closed)

    return make_channel


def count_requests(channels: set[JsonChannel]) -> int:
    """Return the number of unanswered requests, with partly received ones."""
    return sum(len(channel.requests) for channel in channels)
