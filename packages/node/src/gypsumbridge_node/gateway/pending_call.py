"""State of one call to the store or to another node."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import http_request


class PendingCall:
    """A call and the callbacks for its result.

    `sent` is set when the call was written to a connection.
    """

    def __init__(
        self,
        request: http_request.HttpRequest,
        on_success: Callable[[http_reply.HttpReply], None],
        on_failure: Callable[[str], None],
        on_interim: Callable[[], None],
        on_reply: Callable[[http_reply.HttpReply], None],
    ) -> None:
        self.request = request
        self.on_success = on_success
        self.on_failure = on_failure
        self.on_interim = on_interim
        self.on_reply = on_reply
        self.connection: client_connection.ClientConnection | None = None
        self.timer: Any = None
        self.sent = False
        self.ended = False

    def finish(self) -> None:
        """Mark the call as ended and stop its timer."""
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
