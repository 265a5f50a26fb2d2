"""Collects a response's body up to a size limit."""

from typing import Any

from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client

from gypsumbridge_decisions import errors


class BodyCollector(protocol.Protocol):
    """Receives the body of a response of Twisted's HTTP client.

    `finished` fires with the complete body. It fails with TooLargeError if
    the body is over the limit, and with the reason of the close if it is
    not complete. Cancelling it closes the connection.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.body = bytearray()
        self.finished: defer.Deferred[bytes] = defer.Deferred(
            lambda deferred: self.abort()
        )

    def abort(self) -> None:
        """Close the connection and free what was received."""
        self.body = bytearray()
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Append to the body, unless it is over the limit."""
        if self.finished.called:
            return
        self.body += data
        if len(self.body) <= self.max_bytes:
            return
        self.abort()
        self.finished.errback(
            errors.TooLargeError(
                f'a response body is over {self.max_bytes} bytes',
                'check the server that sent it',
            )
        )

    def connectionLost(self, reason: failure.Failure) -> None:
        """Report the body if it is complete."""
        if self.finished.called:
            return
        if reason.check(client.ResponseDone) is None:
            self.finished.errback(reason)
            return
        self.finished.callback(bytes(self.body))


def collect_body(response: Any, max_bytes: int) -> 'defer.Deferred[bytes]':
    """Return a Deferred of the response's body; see `BodyCollector`."""
    collector = BodyCollector(max_bytes)
    response.deliverBody(collector)
    return collector.finished
