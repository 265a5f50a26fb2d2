"""An HTTP request whose body has a size limit."""

from collections.abc import Callable
import io
from typing import Any

from twisted.web import server

# A body over the limit is read to its end so that its sender sees the
# refusal instead of a reset; past this many times the limit it is cut off.
DISCARD_FACTOR = 64


class BoundedRequest(server.Request):
    """Keeps at most `max_body_bytes` of a body, in memory.

    The parent class keeps large bodies in files; our hosts have no disks.
    A longer body is read and thrown away, and `too_large` is set.
    """

    max_body_bytes = 1024 * 1024

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.too_large = False
        self.received_bytes = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Start a body of a known or unknown length."""
        self.content = io.BytesIO()
        if length is not None and length > self.max_body_bytes:
            self.too_large = True

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a piece of the body while it fits."""
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
    """Return a function that makes requests with a size limit."""

    def make_request(*args: Any, **kwargs: Any) -> BoundedRequest:
        made = BoundedRequest(*args, **kwargs)
        made.max_body_bytes = max_body_bytes
        return made

    return make_request
