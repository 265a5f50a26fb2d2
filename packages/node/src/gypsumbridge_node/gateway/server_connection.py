"""A caller's connection."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import httptools
from twisted.internet import protocol
from twisted.protocols import policies
from twisted.python import failure

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import headers
from gypsumbridge_node.gateway import http_head
from gypsumbridge_node.gateway import parsed_request
from gypsumbridge_node.gateway import receive_budget
from gypsumbridge_node.gateway import socket_options
from gypsumbridge_node.gateway import socket_writer
from gypsumbridge_node.gateway import upgrade_offer
from gypsumbridge_node.gateway import write_flow

STATUS_CONTINUE = 100
STATUS_BAD_REQUEST = 400
STATUS_TIMEOUT = 408
STATUS_BODY_TOO_LARGE = 413
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
# The memory for uploads is used up; they last longer than a moment.
OVER_BUDGET_HEADERS = (('Retry-After', '1'),)
STATUS_HEADER_TOO_LARGE = 431
# Requests that only a tunnel or another protocol can answer. Their status
# states that nothing was run.
UNSUPPORTED_METHODS = frozenset({b'CONNECT', b'PRI'})
# Reading is paused while this many pipelined requests wait.
MAX_PIPELINED = 8
# A peer that reads nothing for this long after the close loses what is left.
CLOSE_TIMEOUT_MS = 5_000


class ServerConnection(protocol.Protocol, policies.TimeoutMixin):
    """Parses requests and passes them on one at a time, in order.

    `on_request` gets the next request after the response to the previous
    one. `on_disconnect` is called if the connection is closed while a
    request waits for its response. `limits` returns the limits in force,
    and `closing` whether connections are closed after their next response.
    What was received of an incomplete request counts against the `budget`,
    and is freed when the connection is closed. A request that cannot be read
    is answered after those before it, and closes the connection. Offers to
    upgrade the connection are ignored. While the peer does not read its
    responses, no further request is passed on.
    """

    def __init__(
        self,
        on_request: Callable[
            ['ServerConnection', parsed_request.ParsedRequest], None
        ],
        on_disconnect: Callable[['ServerConnection'], None],
        limits: Callable[[], forwarding.IngressLimits],
        closing: Callable[[], bool],
        budget: receive_budget.ReceiveBudget,
    ) -> None:
        self.budget = budget
        self.in_budget = False
        self.on_request = on_request
        self.on_disconnect = on_disconnect
        self.limits = limits
        self.closing = closing
        self.parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self.waiting: collections.deque[
            tuple[parsed_request.ParsedRequest, bool]
        ] = collections.deque()
        self.in_progress = False
        self.keep_alive = True
        self.ended = False
        # Set at the end of the connection, and after an unreadable request.
        self.input_ended = False
        self.rejection: int | None = None
        self.reading = False
        self.requests = 0
        self._clear_message()

    def connectionMade(self) -> None:
        """Set up the socket and start the idle timeout."""
        self.transport.setTcpNoDelay(True)
        self.writer = socket_writer.SocketWriter(self.transport)
        self.flow = write_flow.WriteFlow(self.transport, self._next)
        self.factory.connections.add(self)
        self._set_timeout_ms(self.limits().idle_timeout_ms)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.input_ended:
            return
        if not self.reading and not self.in_progress:
            self._set_timeout_ms(self.limits().header_timeout_ms)
        elif self.reading_body:
            self.resetTimeout()
        rest = data
        while rest:
            rest = self._parse(rest)
        if self.body:
            self.in_budget = True
            self.budget.record(self._reject_over_budget, len(self.body))
        if len(self.waiting) >= MAX_PIPELINED:
            self.transport.pauseProducing()

    def _parse(self, data: bytes) -> bytes:
        """Parse bytes; return those that have to be parsed again."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            return self._ignore_offer(data[offer.args[0] :])
        except httptools.HttpParserError:
            status = STATUS_BAD_REQUEST
            if self.parser.get_method() in UNSUPPORTED_METHODS:
                status = STATUS_MISDIRECTED
            self._reject(status)
        return b''

    def _ignore_offer(self, rest: bytes) -> bytes:
        """Return a request from its head on, without its offer."""
        method = self.parser.get_method()
        if method in UNSUPPORTED_METHODS:
            self._reject(STATUS_MISDIRECTED)
        if self.input_ended:
            return b''
        head = upgrade_offer.encode_without_offer(
            method.decode('latin-1'),
            self.target,
            self.parser.get_http_version(),
            self.headers,
        )
        self.parser = httptools.HttpRequestParser(self)
        return head + rest

    def timeoutConnection(self) -> None:
        """Close a connection that is idle or sends a request too slowly."""
        if self.ended:
            self.transport.abortConnection()
            return
        if self.in_progress:
            return
        if self.reading and not self.flow.blocked:
            self._reject(STATUS_TIMEOUT)
            return
        self.close()

    def connectionLost(self, reason: failure.Failure) -> None:
        """Report a caller that disconnected during a request."""
        self.setTimeout(None)
        self.flow.end()
        self.ended = self.input_ended = True
        # The parser and this object refer to each other.
        self.parser = None
        self._clear_message()
        self.factory.connections.discard(self)
        if self.in_progress:
            self.in_progress = False
            self.on_disconnect(self)

    def respond(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Send the response to the request in progress."""
        if self.ended:
            return
        close = not self.keep_alive or self.closing()
        self.in_progress = False
        self.writer.write(
            http_head.encode_response(status, headers, body, close)
        )
        if close:
            self.close()
            return
        self._set_timeout_ms(self.limits().idle_timeout_ms)
        self._next()

    def respond_interim(self, status: int) -> None:
        """Send an interim response (1xx) to the request in progress."""
        if not self.ended:
            self.writer.write(http_head.encode_interim(status))

    def network_ms(self) -> float:
        """Return the network time of the request in progress.

        It is one round trip, and one more for the first request of a
        connection, which waits until the connection is open.
        """
        round_trip_ms = socket_options.round_trip_ms(
            self.transport.getHandle()
        )
        return round_trip_ms * (2 if self.requests == 1 else 1)

    def close(self) -> None:
        """Close the connection after sending all written data."""
        self.ended = self.input_ended = True
        self._clear_message()
        self.flow.end()
        self._set_timeout_ms(CLOSE_TIMEOUT_MS)
        self.transport.loseConnection()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        if not self.in_progress and not self.reading and not self.waiting:
            self.close()

    def on_message_begin(self) -> None:
        """Start a request."""
        self._clear_message()
        self.reading = True

    def on_url(self, url: bytes) -> None:
        """Store a piece of the target."""
        if self.input_ended:
            return
        self.target += url
        self._add_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header, and answer `Expect: 100-continue`."""
        if self.input_ended:
            return
        self.headers.append((name.decode('latin-1'), value.decode('latin-1')))
        self._add_header_bytes(len(name) + len(value) + 4)
        if name.lower() == b'expect' and value.lower() == b'100-continue':
            self.writer.write(http_head.encode_interim(STATUS_CONTINUE))

    def on_headers_complete(self) -> None:
        """Apply the idle timeout to the pauses in the body."""
        self.reading_body = True
        if not self.in_progress and not self.ended:
            self._set_timeout_ms(self.limits().idle_timeout_ms)

    def on_body(self, body: bytes) -> None:
        """Append a chunk to the body, unless the body is too large."""
        if self.input_ended:
            return
        self.body += body
        if len(self.body) > self.limits().max_body_bytes:
            self._reject(STATUS_BODY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Pass the request on, or queue it behind the one in progress."""
        if self.input_ended or self.parser.should_upgrade():
            return
        self.reading = False
        request = parsed_request.ParsedRequest(
            self.parser.get_method().decode('latin-1'),
            self.target.decode('latin-1'),
            headers.make_headers(self.headers),
            bytes(self.body),
        )
        self._clear_message()
        self.waiting.append((request, self.parser.should_keep_alive()))
        self._next()

    def _next(self) -> None:
        if self.in_progress or self.ended or self.flow.blocked:
            return
        if not self.waiting:
            self._answer_rejection()
            return
        request, self.keep_alive = self.waiting.popleft()
        self.in_progress = True
        self.requests += 1
        self.setTimeout(None)
        self.transport.resumeProducing()
        self.on_request(self, request)

    def _set_timeout_ms(self, timeout_ms: int) -> None:
        self.setTimeout(timeout_ms / 1000)

    def _add_header_bytes(self, count: int) -> None:
        self.header_bytes += count
        if self.header_bytes > self.limits().max_header_bytes:
            self._reject(STATUS_HEADER_TOO_LARGE)

    def _reject(self, status: int) -> None:
        """Stop reading; answer the request after those before it."""
        if self.input_ended:
            return
        self.input_ended = True
        self.rejection = status
        self.reading = False
        self._clear_message()
        self._next()

    def _reject_over_budget(self) -> None:
        self._reject(STATUS_UNAVAILABLE)

    def _answer_rejection(self) -> None:
        """Answer a request that was not read completely, and close."""
        if self.rejection is None:
            return
        added: tuple[tuple[str, str], ...] = ()
        if self.rejection == STATUS_UNAVAILABLE:
            added = OVER_BUDGET_HEADERS
        self.writer.write(
            http_head.encode_response(self.rejection, added, b'', True)
        )
        self.close()

    def _clear_message(self) -> None:
        """Free what was received of a request."""
        if self.in_budget:
            self.in_budget = False
            self.budget.release(self._reject_over_budget)
        self.reading_body = False
        self.target = b''
        self.headers: list[tuple[str, str]] = []
        self.header_bytes = 0
        self.body = bytearray()


def make_factory(
    on_request: Callable[
        [ServerConnection, parsed_request.ParsedRequest], None
    ],
    on_disconnect: Callable[[ServerConnection], None],
    limits: Callable[[], forwarding.IngressLimits],
    closing: Callable[[], bool],
) -> Any:
    """Return a factory whose `connections` are its open connections.

    They share one budget for requests that are not complete.
    """
    budget = receive_budget.make_receive_budget()
    factory = protocol.Factory.forProtocol(
        lambda: ServerConnection(
            on_request, on_disconnect, limits, closing, budget
        )
    )
    factory.budget = budget
    factory.connections = set()
    factory.noisy = False
    return factory
