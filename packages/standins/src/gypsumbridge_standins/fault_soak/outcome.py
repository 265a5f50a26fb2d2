"""The outcome of a request."""

import dataclasses

from gypsumbridge_standins.fault_soak import sent_request


@dataclasses.dataclass(frozen=True)
class Outcome:
    """A request's outcome at its caller.

    `status` is 0 if there was no complete response, and `headers` has lower
    case names. `gave_up` is true if the caller closed the connection.
    """

    request: sent_request.SentRequest
    ended_ms: int
    status: int
    headers: dict[str, str]
    body: bytes
    gave_up: bool
