"""A request of a caller, decoded."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """One HTTP request, read in full.

    `request_id` is the caller's own id, `call_id` this node's. `target` is
    the path with its query as sent, `headers` the end-to-end headers to
    pass on. `deadline_ms` is the time the caller waits, from
    `arrived_ms` on the node's clock. `network_ms` is how much longer the
    response takes for the caller than for this node: one round trip, or two
    when the connection was opened for this request.
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
    network_ms: float = 0.0
