"""An order to send a request to one searcher."""

import dataclasses

from gypsumbridge_decisions.forwarding import caller_request
from gypsumbridge_decisions.forwarding import searcher


@dataclasses.dataclass(frozen=True)
class SendAttempt:
    """Sends `request` to `searcher`, who has `remaining_ms` to answer.

    An `idempotent` request may run more than once. With `framed_only`, a
    response must state its length or be chunked. With `new_connection`, no
    connection that has been idle may be used.
    """

    attempt_id: int
    request: caller_request.CallerRequest
    searcher: searcher.Searcher
    remaining_ms: int
    idempotent: bool
    framed_only: bool
    new_connection: bool
