"""A command to send a request to one searcher."""

import dataclasses

from gypsumbridge_decisions.forwarding import caller_request
from gypsumbridge_decisions.forwarding import searcher


@dataclasses.dataclass(frozen=True)
class SendAttempt:
    """Sends `request` to `searcher`, which has `remaining_ms` to answer.

    With `framed_only`, the response must state its length or be chunked. A
    connection that has been idle for `max_idle_ms` or longer is not used;
    None allows any.
    """

    attempt_id: int
    request: caller_request.CallerRequest
    searcher: searcher.Searcher
    remaining_ms: int
    framed_only: bool
    max_idle_ms: int | None
