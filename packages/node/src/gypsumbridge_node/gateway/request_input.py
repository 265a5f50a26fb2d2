"""What a connection has received and not passed on."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import parsed_request
from gypsumbridge_node.gateway import request_reader
from gypsumbridge_node.gateway import socket_options

# Nothing is read while this many pipelined requests wait.
MAX_PIPELINED = 8


class RequestInput:
    """Parses received bytes piece by piece, and reads more after the last.

    `backlog` holds those that are not parsed yet. While there are any,
    nothing is read from the socket, which then fills its buffer. After
    the `end` what is received is dropped.
    """

    def __init__(
        self, transport: Any, limits: Callable[[], forwarding.IngressLimits]
    ) -> None:
        self.transport = transport
        self.reader = request_reader.RequestReader(limits)
        self.backlog = b''
        self.paused = False
        self.ended = False

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        self.backlog = self.backlog + data if self.backlog else data

    def parse_some(self) -> bool:
        """Parse a piece, and return whether there was one to be parsed now."""
        if self.ended or not self.backlog:
            return False
        if len(self.reader.requests) >= MAX_PIPELINED:
            return False
        self.backlog = self.reader.feed(self.backlog)
        if self.reader.ended:
            self.ended = True
            self.backlog = b''
        return True

    def take(self) -> tuple[parsed_request.ParsedRequest, bool] | None:
        """Remove and return the next request, if one is complete."""
        if not self.reader.requests:
            return None
        return self.reader.requests.popleft()

    def reject(self, status: int) -> None:
        """Parse nothing more; the request being read gets the status."""
        self.reader.reject(status)
        self.ended = True
        self.backlog = b''

    def end(self) -> None:
        """Free everything that was not passed on."""
        self.ended = True
        self.backlog = b''
        self.reader.end()
        self.reader.requests.clear()
        # What still arrives is dropped, so that the socket holds nothing.
        self._set_reading(True)

    def refuse(self, status: int) -> None:
        """Free everything that was not passed on, with a status for it."""
        self.end()
        self.reader.rejection = status

    def is_empty(self) -> bool:
        """Return whether nothing of a request has been received."""
        return not (
            self.backlog or self.reader.reading or self.reader.requests
        )

    def read_on(self) -> None:
        """Read from the socket if everything that was read is parsed."""
        self._set_reading(not self.backlog)

    def held_bytes(self) -> int:
        """Return the memory that is held, with the socket's if it is full."""
        held = len(self.backlog) + self.reader.held_bytes()
        if self.paused:
            held += socket_options.HELD_BUFFER_BYTES
        return held

    def _set_reading(self, reading: bool) -> None:
        if reading != self.paused:
            return
        self.paused = not reading
        if reading:
            self.transport.resumeProducing()
        else:
            self.transport.pauseProducing()
