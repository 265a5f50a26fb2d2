"""A request of a caller, decoded."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """One HTTP request, read in full.

    `request_id` is the caller's own id, `call_id` this node's. `target` is
    the path with its query as sent, `headers` the end-to-end headers to
    pass on. `deadline_ms` is the time the caller waits, from
    `arrived_ms` on the node's clock.
    """

    call_id: int
    request_id: str
    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_ms: int
    arrived_ms: int
