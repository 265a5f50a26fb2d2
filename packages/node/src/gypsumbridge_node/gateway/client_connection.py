"""A connection to a server that carries one request at a time."""

from collections.abc import Callable

import httptools
import logbook
from twisted.internet import error as net_errors
from twisted.internet import protocol
from twisted.python import failure

from gypsumbridge_node.gateway import headers
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import keep_alive_header
from gypsumbridge_node.gateway import memory_budget
from gypsumbridge_node.gateway import received_response
from gypsumbridge_node.gateway import response_head
from gypsumbridge_node.gateway import socket_options
from gypsumbridge_node.gateway import socket_writer
from gypsumbridge_wire import status_kind
from gypsumbridge_wire import status_line

# A longer response body closes the connection.
MAX_BODY_BYTES = 8 * 1_048_576
# The same for everything else that is received before the response is
# complete: heads, interim and late responses. The framing of chunks may take
# `MAX_FRAMING_SHARE` times the size of the body besides.
MAX_HEAD_BYTES = 64 * 1_024
# Short headers take many times the memory of their bytes.
MAX_HEADERS = 256
MAX_FRAMING_SHARE = 8
# The reasons of a close that this side did not cause.
CLOSED = 'closed'
RESET = 'reset'
CLOSED_BY_SERVER = frozenset({CLOSED, RESET})
BODY_TOO_LARGE = 'body_too_large'
# A server may close an idle connection slightly before the time that it
# states.
IDLE_MARGIN_MS = 300


def ignore_interim() -> None:
    """Ignore an interim response."""


class ClientConnection(protocol.Protocol):
    """Parses responses and reports each to the owner of the connection.

    `on_reply` gets each complete response that `expects` returns true for;
    any other belongs to an earlier request and is discarded. `on_close`
    gets the reason of the close: `closed` or `reset` by the server, or why
    this side ended it. `on_interim` is called for each interim response
    (1xx). After bytes that belong to no request the connection is
    not reused. A server that exceeds the limits on heads and bodies is
    disconnected. What was received of an incomplete response counts against
    the `budget`, and is freed when the connection is closed.
    """

    def __init__(
        self,
        on_reply: Callable[['ClientConnection', http_reply.HttpReply], None],
        on_close: Callable[['ClientConnection', str], None],
        logger: logbook.Logger,
        budget: memory_budget.MemoryBudget,
    ) -> None:
        self.on_reply = on_reply
        self.on_close = on_close
        self.logger = logger
        self.budget = budget
        self.in_budget = False
        self.parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self.expects: Callable[[http_reply.HttpReply], bool] | None = None
        self.on_interim: Callable[[], None] = ignore_interim
        self.received = received_response.ReceivedResponse()
        self.interim = False
        self.max_body_bytes = MAX_BODY_BYTES
        self.head_only = False
        self.received_bytes = 0
        self.receiving = False
        self.aborted = False
        self.abort_reason = ''
        self.reusable = True
        self.keep_alive_ms: int | None = None
        self.idle_since_ms = 0

    def connectionMade(self) -> None:
        """Set the socket's options."""
        self.writer = socket_writer.SocketWriter(self.transport)
        socket_options.enable_failure_detection(
            self.transport.getHandle(), self.logger
        )

    def send(
        self,
        data: bytes,
        expects: Callable[[http_reply.HttpReply], bool],
        max_body_bytes: int = MAX_BODY_BYTES,
        head_only: bool = False,
    ) -> None:
        """Send a request; `expects` recognizes the response to it.

        With `head_only` the response has no body, whatever length it states.
        """
        self.expects = expects
        self.head_only = head_only
        self.max_body_bytes = max_body_bytes
        self.received_bytes = 0
        self.writer.write(data)

    def is_usable(self, now_ms: int) -> bool:
        """Return whether this idle connection can be reused.

        It cannot if the server is about to close it.
        """
        if not self.reusable or self.expects is not None:
            return False
        if self.keep_alive_ms is None:
            return True
        idle_ms = now_ms - self.idle_since_ms
        return idle_ms < self.keep_alive_ms - IDLE_MARGIN_MS

    def close(self) -> None:
        """Abort the connection and any response in progress."""
        self.reusable = False
        self.aborted = True
        self._clear_message()
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.aborted:
            return
        if self.expects is None:
            # These bytes are late or unsolicited.
            self._abort('unexpected_bytes')
            return
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ):
            self._abort('unreadable_response')
            return
        self.received_bytes += len(data)
        if self.aborted:
            return
        if self.expects is None:
            if self.receiving:
                self._abort('bytes_after_response')
            return
        body_bytes = len(self.received.body)
        framing_bytes = self.received_bytes - body_bytes
        limit_bytes = MAX_HEAD_BYTES + MAX_FRAMING_SHARE * body_bytes
        if framing_bytes > limit_bytes:
            self._abort('head_too_large')
            return
        if body_bytes:
            self.in_budget = True
            self.budget.record(self._abort_over_budget, body_bytes)

    def connectionLost(self, reason: failure.Failure) -> None:
        """Report the close; a clean close completes an unframed response."""
        self.reusable = False
        clean = reason.check(net_errors.ConnectionDone) is not None
        if clean and self.received.head is not None and not self.aborted:
            if not self._is_framed():
                self._complete(self.received.head, framed=False)
        # The parser and this object refer to each other.
        self.parser = None
        self._clear_message()
        name = CLOSED if clean else RESET
        self.on_close(self, self.abort_reason or name)

    def on_message_begin(self) -> None:
        """Start a response."""
        self.receiving = True
        self._clear_message()

    def on_status(self, reason: bytes) -> None:
        """Store a piece of the reason phrase."""
        self.received.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header."""
        if self.aborted:
            return
        fields = self.received.fields
        fields.append((name.decode('latin-1'), value.decode('latin-1')))
        if len(fields) > MAX_HEADERS:
            self._abort('head_too_large')

    def on_headers_complete(self) -> None:
        """Close the connection if the head cannot be used."""
        if self.aborted:
            return
        received = self.received
        if response_head.is_merged(
            received.reason.decode('latin-1'), received.fields
        ):
            self._abort('merged_head')
            return
        kind = status_line.classify(
            self.parser.get_http_version(),
            f'{self.parser.get_status_code():03}',
        )
        if kind is status_kind.StatusKind.BROKEN:
            self._abort('bad_status')
            return
        self.interim = kind is status_kind.StatusKind.INTERIM
        received.head = headers.make_headers(received.fields)
        if self.head_only and not self.interim:
            # The parser would wait for the body.
            self.reusable = False
            self._complete(received.head, framed=True)
            return
        if received.stated_length() > self.max_body_bytes:
            self._abort(BODY_TOO_LARGE)

    def on_body(self, body: bytes) -> None:
        """Append a chunk to the body."""
        if self.aborted:
            return
        self.received.body += body
        if len(self.received.body) > self.max_body_bytes:
            self._abort(BODY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Report the response unless it is an interim one (1xx)."""
        if self.aborted or self.received.head is None:
            return
        if self.interim:
            # Its head must not complete a response if the connection closes.
            self._clear_message()
            self.on_interim()
            return
        self._complete(self.received.head, self._is_framed())

    def _abort(self, reason: str) -> None:
        self.abort_reason = reason
        self.close()

    def _abort_over_budget(self) -> None:
        self._abort('receive_budget')

    def _is_framed(self) -> bool:
        return self.received.is_framed(self.parser.get_status_code())

    def _complete(self, found: headers.Headers, framed: bool) -> None:
        self.receiving = False
        reply = self.received.make_reply(
            self.parser.get_status_code(), found, framed
        )
        if not framed or not self.parser.should_keep_alive():
            self.reusable = False
        self.keep_alive_ms = keep_alive_header.keep_alive_ms(reply)
        self._clear_message()
        if self.expects is None or not self.expects(reply):
            # The server may still be about to send the real response.
            self.reusable = False
            return
        self.expects = None
        self.on_reply(self, reply)

    def _clear_message(self) -> None:
        """Free what was received of a response."""
        if self.in_budget:
            self.in_budget = False
            self.budget.release(self._abort_over_budget)
        self.received.clear()
