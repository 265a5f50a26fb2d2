"""What a connection has received of a response."""

from gypsumbridge_node.gateway import headers
from gypsumbridge_node.gateway import http_reply


class ReceivedResponse:
    """The pieces of a response; `head` is set once they include its head."""

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Free what was received."""
        self.head: headers.Headers | None = None
        self.reason = b''
        self.fields: list[tuple[str, str]] = []
        self.body = bytearray()

    def is_framed(self, status: int) -> bool:
        """Return whether the head states where the body ends."""
        if status in (204, 304):
            return True
        return self.head is not None and (
            'content-length' in self.head.first
            or 'transfer-encoding' in self.head.first
        )

    def stated_length(self) -> int:
        """Return the length that the head states, or 0."""
        length = (
            ''
            if self.head is None
            else self.head.first.get('content-length', '')
        )
        return int(length) if length.isdecimal() else 0

    def make_reply(
        self, status: int, head: headers.Headers, framed: bool
    ) -> http_reply.HttpReply:
        """Return the complete response."""
        return http_reply.HttpReply(status, head, bytes(self.body), framed)
