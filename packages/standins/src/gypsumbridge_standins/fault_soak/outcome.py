"""What became of a request."""

import dataclasses

from gypsumbridge_standins.fault_soak import sent_request


@dataclasses.dataclass(frozen=True)
class Outcome:
    """A request's end as its caller saw it.

    `status` is 0 where no complete response came, and `headers` has lower
    case names. `gave_up` says that the caller closed the connection.
    """

    request: sent_request.SentRequest
    ended_ms: int
    status: int
    headers: dict[str, str]
    body: bytes
    gave_up: bool
