"""An HTTP request whose body has a size limit."""

from collections.abc import Callable
import io
from typing import Any

from twisted.web import server

# A body over the limit is read to its end, so that its sender receives the
# error response instead of a reset. Past this many times the limit the
# connection is aborted.
DISCARD_FACTOR = 64


class BoundedRequest(server.Request):
    """Keeps at most `max_body_bytes` of a body, in memory.

    The parent class writes large bodies to files, but the hosts have no
    disks. A longer body is read and discarded, and `too_large` is set.
    """

    max_body_bytes = 1024 * 1024

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.too_large = False
        self.received_bytes = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare the buffer for a body of a known or unknown length."""
        self.content = io.BytesIO()
        if length is not None and length > self.max_body_bytes:
            self.too_large = True

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Append a piece of the body while the body is within the limit."""
        self.received_bytes += len(data)
        if self.received_bytes > self.max_body_bytes:
            self.too_large = True
        if self.received_bytes > DISCARD_FACTOR * self.max_body_bytes:
            self.channel.forceAbortClient()
        if self.too_large:
            return
        self.content.write(data)


def make_request_factory(
    max_body_bytes: int,
) -> Callable[..., BoundedRequest]:
    """Return a function that makes requests with this size limit."""

    def make_request(*args: Any, **kwargs: Any) -> BoundedRequest:
        request = BoundedRequest(*args, **kwargs)
        request.max_body_bytes = max_body_bytes
        return request

    return make_request
