"""Reads requests from the bytes of a connection."""

import collections
from collections.abc import Callable

import httptools

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import headers
from gypsumbridge_node.gateway import parsed_request
from gypsumbridge_node.gateway import upgrade_offer

STATUS_BAD_REQUEST = 400
STATUS_BODY_TOO_LARGE = 413
STATUS_MISDIRECTED = 421
STATUS_HEADER_TOO_LARGE = 431
# Requests that only a tunnel or another protocol can answer. Their status
# states that nothing was run.
UNSUPPORTED_METHODS = frozenset({b'CONNECT', b'PRI'})
# The parser cannot pause within the bytes that it is given. These hold most
# requests whole, and no more than about a hundred; half as many cost a request
# with a body of 1 kB a third more processor time.
SLICE_BYTES = 2_048
# What a header takes besides its bytes, and a request besides its headers.
HEADER_OVERHEAD_BYTES = 200
REQUEST_OVERHEAD_BYTES = 1_000


class RequestReader:
    """Parses requests, and keeps what was received of the next one.

    `requests` holds the complete ones in order, each with whether the
    connection may be used for another one. `rejection` is the status for one
    that cannot be read, after which nothing is read; `expects_continue` is
    set when the client waits for an interim response. Bytes that the parser
    keeps without reporting anything (a field, a trailer or a chunk's
    extension without its end, empty lines) are limited as a head is.
    """

    def __init__(self, limits: Callable[[], forwarding.IngressLimits]) -> None:
        self.limits = limits
        self.requests: collections.deque[
            tuple[parsed_request.ParsedRequest, bool]
        ] = collections.deque()
        self.rejection: int | None = None
        self.expects_continue = False
        self.parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self.ended = False
        self.reading = False
        self.reported = False
        self.unreported_bytes = 0
        self.clear()

    def end(self) -> None:
        """Stop reading, and free what was received of a request."""
        self.ended = True
        self.reading = False
        self.unreported_bytes = 0
        self.clear()

    def free_parser(self) -> None:
        """Drop the parser, which refers to this object and back."""
        self.parser = None

    def clear(self) -> None:
        """Free what was received of a request."""
        self.reading_body = False
        self.target = b''
        self.headers: list[tuple[str, str]] = []
        self.header_bytes = 0
        self.length = 0
        self.body = bytearray()

    def has_begun(self) -> bool:
        """Return whether bytes of the next request have been received."""
        return self.reading or self.unreported_bytes > 0

    def held_bytes(self) -> int:
        """Return the memory that requests take, complete or not."""
        held = self._message_bytes() + self.unreported_bytes
        if self.requests:
            held += sum(request.memory_bytes for request, _ in self.requests)
        return held

    def feed(self, data: bytes) -> bytes:
        """Parse the first bytes, and return those that are left."""
        left_of_body = self.length - len(self.body)
        size = max(SLICE_BYTES, left_of_body if self.reading_body else 0)
        if len(data) <= size:
            return self._parse(data)
        return self._parse(data[:size]) + data[size:]

    def _parse(self, data: bytes) -> bytes:
        """Parse bytes; return those that have to be parsed again."""
        self.reported = False
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            return self._ignore_offer(data[offer.args[0] :])
        except httptools.HttpParserError:
            status = STATUS_BAD_REQUEST
            if self.parser.get_method() in UNSUPPORTED_METHODS:
                status = STATUS_MISDIRECTED
            self.reject(status)
        if self.reported:
            self.unreported_bytes = 0
            return b''
        self.unreported_bytes += len(data)
        # The slice before may have held a part of the same field.
        limit = self.limits().max_header_bytes + SLICE_BYTES
        if self.unreported_bytes > limit:
            self.reject(
                STATUS_HEADER_TOO_LARGE if self.reading else STATUS_BAD_REQUEST
            )
        return b''

    def _ignore_offer(self, rest: bytes) -> bytes:
        """Return a request from its head on, without its offer."""
        method = self.parser.get_method()
        if method in UNSUPPORTED_METHODS:
            self.reject(STATUS_MISDIRECTED)
        if self.ended:
            return b''
        head = upgrade_offer.encode_without_offer(
            method.decode('latin-1'),
            self.target,
            self.parser.get_http_version(),
            self.headers,
        )
        self.parser = httptools.HttpRequestParser(self)
        return head + rest

    def on_message_begin(self) -> None:
        """Start a request."""
        self.clear()
        self.reading = True

    def on_url(self, url: bytes) -> None:
        """Store a piece of the target."""
        if self.ended:
            return
        self.reported = True
        self.target += url
        self._add_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header, and answer `Expect: 100-continue`."""
        if self.ended:
            return
        self.reported = True
        self.headers.append((name.decode('latin-1'), value.decode('latin-1')))
        self._add_header_bytes(len(name) + len(value) + 4)
        key = name.lower()
        if key == b'expect' and value.lower() == b'100-continue':
            self.expects_continue = True
        elif key == b'content-length' and not self.reading_body:
            # A trailer of this name states nothing. The parser refuses a
            # length that is not a number.
            self.length = int(value) if value.isdigit() else 0

    def on_headers_complete(self) -> None:
        """Begin the body."""
        self.reported = True
        self.reading_body = True

    def on_body(self, body: bytes) -> None:
        """Append a chunk to the body, unless the body is too large."""
        if self.ended:
            return
        self.reported = True
        self.body += body
        if len(self.body) > self.limits().max_body_bytes:
            self.reject(STATUS_BODY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Report the request."""
        if self.ended or self.parser.should_upgrade():
            return
        self.reported = True
        self.reading = False
        request = parsed_request.ParsedRequest(
            self.parser.get_method().decode('latin-1'),
            self.target.decode('latin-1'),
            headers.make_headers(self.headers),
            bytes(self.body),
            self._message_bytes() + REQUEST_OVERHEAD_BYTES,
        )
        self.clear()
        self.requests.append((request, self.parser.should_keep_alive()))

    def _message_bytes(self) -> int:
        return (
            self.header_bytes
            + HEADER_OVERHEAD_BYTES * len(self.headers)
            + len(self.body)
        )

    def _add_header_bytes(self, count: int) -> None:
        self.header_bytes += count
        if self.header_bytes > self.limits().max_header_bytes:
            self.reject(STATUS_HEADER_TOO_LARGE)

    def reject(self, status: int) -> None:
        """Read nothing more; the status is for the request being read."""
        if not self.ended:
            self.end()
            self.rejection = status
