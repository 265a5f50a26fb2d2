"""A caller's connection."""

from collections.abc import Callable
from collections.abc import Iterable
import time
from typing import Any

from twisted.internet import protocol
from twisted.protocols import policies
from twisted.python import failure

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import edge_resources
from gypsumbridge_node.gateway import http_head
from gypsumbridge_node.gateway import memory_account
from gypsumbridge_node.gateway import parsed_request
from gypsumbridge_node.gateway import request_input
from gypsumbridge_node.gateway import request_reader
from gypsumbridge_node.gateway import socket_options
from gypsumbridge_node.gateway import socket_writer
from gypsumbridge_node.gateway import write_flow

STATUS_CONTINUE = 100
STATUS_TIMEOUT = 408
STATUS_UNAVAILABLE = 503
# The memory for requests is used up; they last longer than a moment.
OVER_BUDGET_HEADERS = (('Retry-After', '1'),)
# Of one connection in one turn of the reactor. Without this bound, 400
# connections that send ahead left an ordinary caller 2 answers in 8 s.
MAX_SERVED_AT_ONCE = 8
# Read at once, and kept if requests have to wait.
READ_BYTES = 16_384
# A peer that reads nothing for this long after the close loses what is left.
CLOSE_TIMEOUT_MS = 5_000


class ServerConnection(protocol.Protocol, policies.TimeoutMixin):
    """Passes requests on one at a time, in order, and sends the responses.

    `on_request` gets the next request after the response to the previous
    one. `on_disconnect` is called if the connection is closed while a
    request waits for its response. `limits` returns the limits in force,
    and `closing` whether connections are closed after their next response.
    A request that cannot be read is answered after those before it, and
    closes the connection. Offers to upgrade the connection are ignored.
    While the peer does not read its responses, nothing is parsed or passed
    on. What the connection holds counts against the `resources`.
    """

    def __init__(
        self,
        on_request: Callable[
            ['ServerConnection', parsed_request.ParsedRequest], None
        ],
        on_disconnect: Callable[['ServerConnection'], None],
        limits: Callable[[], forwarding.IngressLimits],
        closing: Callable[[], bool],
        resources: edge_resources.EdgeResources,
    ) -> None:
        self.on_request = on_request
        self.on_disconnect = on_disconnect
        self.limits = limits
        self.closing = closing
        self.resources = resources
        self.account = memory_account.MemoryAccount(
            resources.budget, self._evict
        )
        self.advancing = False
        self.later: Any = None
        self.in_progress = False
        self.in_progress_bytes = 0
        self.keep_alive = True
        self.ended = False
        self.requests = 0
        self.last_use_s = time.monotonic()

    def connectionMade(self) -> None:
        """Set up the socket and start the idle timeout."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_BYTES
        self.input = request_input.RequestInput(self.transport, self.limits)
        self.writer = socket_writer.SocketWriter(self.transport)
        self.flow = write_flow.WriteFlow(
            self.transport, self.writer, self._advance
        )
        self.factory.connections.add(self)
        self._set_timeout_ms(self.limits().idle_timeout_ms)
        self.resources.connections.add(
            self, self.transport.getHandle().fileno()
        )

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes, unless earlier ones have to wait."""
        if self.input.ended:
            return
        reader = self.input.reader
        if reader.reading_body:
            self.resetTimeout()
        elif not self.in_progress and not reader.has_begun():
            self._set_timeout_ms(self.limits().header_timeout_ms)
        self.input.add(data)
        self._advance()

    def timeoutConnection(self) -> None:
        """Close a connection that is idle or sends a request too slowly."""
        if self.ended:
            self.transport.abortConnection()
            return
        if self.in_progress:
            return
        if self.input.reader.reading and not self.flow.blocked:
            self.input.reject(STATUS_TIMEOUT)
            self._advance()
            return
        self.close()

    def connectionLost(self, reason: failure.Failure) -> None:
        """Report a caller that disconnected during a request."""
        self.setTimeout(None)
        self.flow.end()
        self.ended = True
        self.input.end()
        self.account.end()
        self.input.reader.free_parser()
        self.factory.connections.discard(self)
        self.resources.connections.discard(self)
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
        self.in_progress_bytes = 0
        self.last_use_s = time.monotonic()
        self.writer.write(
            http_head.encode_response(status, headers, body, close)
        )
        if close:
            self.close()
            return
        self._set_timeout_ms(self.limits().idle_timeout_ms)
        self._advance()

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
        self.ended = True
        self.input.end()
        self.flow.end()
        self._record()
        self._set_timeout_ms(CLOSE_TIMEOUT_MS)
        self.transport.loseConnection()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        if not self.in_progress and self.input.is_empty():
            self.close()

    def abort(self, limit: str) -> None:
        """Close the connection at once, since it has met a limit."""
        self.resources.report(limit)
        self.ended = True
        self.input.end()
        self.flow.end()
        self.account.release()
        self.transport.abortConnection()

    def is_closable(self) -> bool:
        """Return whether no request is in progress."""
        return not self.in_progress

    def use_order(self) -> tuple[bool, float]:
        """Return a key that is smaller the less a connection is in use.

        One without an answered request, or whose peer does not read, comes
        before all others.
        """
        return (self.requests > 0 and not self.flow.blocked, self.last_use_s)

    def _advance(self) -> None:
        """Serve and parse as far as possible now, in a loop.

        Handlers may respond at once, which calls this again. After some
        requests, other connections get their turn.
        """
        if self.advancing or self.later is not None:
            return
        self.advancing = True
        most = self.requests + MAX_SERVED_AT_ONCE
        try:
            while self._serve_next() or self._parse_some():
                if self.requests >= most and not self.ended:
                    self.later = self.callLater(0, self._advance_later)
                    break
        finally:
            self.advancing = False
        if not self.ended:
            self.input.read_on()
            self._record()

    def _advance_later(self) -> None:
        self.later = None
        if not self.ended:
            self._advance()

    def _serve_next(self) -> bool:
        """Pass on the next request; return whether there was one to do."""
        if self.in_progress or self.ended or self.flow.blocked:
            return False
        found = self.input.take()
        if found is None:
            self._answer_rejection()
            return False
        request, self.keep_alive = found
        if not self.account.can_pin(request.memory_bytes):
            # All that is held belongs to requests in progress.
            self._refuse_input()
            return True
        self.in_progress = True
        self.in_progress_bytes = request.memory_bytes
        self.requests += 1
        self.setTimeout(None)
        self.on_request(self, request)
        return True

    def _parse_some(self) -> bool:
        """Parse a piece of what was received; return whether there was one."""
        reader = self.input.reader
        in_body = reader.reading_body
        if self.flow.blocked or not self.input.parse_some():
            return False
        if reader.expects_continue:
            reader.expects_continue = False
            self.writer.write(http_head.encode_interim(STATUS_CONTINUE))
        if reader.rejection == request_reader.STATUS_HEADER_TOO_LARGE:
            self.resources.report('head')
        if reader.reading_body and not in_body and not self.in_progress:
            # It applies to the pauses in the body.
            self._set_timeout_ms(self.limits().idle_timeout_ms)
        return True

    def _answer_rejection(self) -> None:
        """Answer a request that was not read completely, and close."""
        status = self.input.reader.rejection
        if status is None:
            return
        added: tuple[tuple[str, str], ...] = ()
        if status == STATUS_UNAVAILABLE:
            added = OVER_BUDGET_HEADERS
        self.writer.write(http_head.encode_response(status, added, b'', True))
        self.close()

    def _evict(self) -> None:
        """Free what this connection holds, but the request in progress."""
        if self.flow.blocked:
            self.abort('memory')
            return
        self._refuse_input()
        self._record()
        self._advance()

    def _refuse_input(self) -> None:
        """Refuse what was received and not passed on; none of it has run."""
        self.resources.report('memory')
        self.input.refuse(STATUS_UNAVAILABLE)

    def _record(self) -> None:
        """Record what this connection holds."""
        evictable_bytes = self.input.held_bytes() + self.writer.buffered_bytes
        if self.flow.blocked:
            evictable_bytes += socket_options.HELD_BUFFER_BYTES
        self.account.record(evictable_bytes, self.in_progress_bytes)

    def _set_timeout_ms(self, timeout_ms: int) -> None:
        self.setTimeout(timeout_ms / 1000)
