"""A decoded request from a caller."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """One HTTP request, read in full.

    `request_id` is the caller's id of the request, `call_id` this node's;
    requests that other nodes delegate have negative ones.
    `target` is the path with its query as received, `headers` the
    end-to-end headers to forward. The caller waits for `deadline_ms` from
    `arrived_ms` on the node's clock. `network_ms` is the part of the
    latency at the caller that this node does not see: one round trip, or
    two when the connection was opened for this request. `key_digest` is the
    digest of the caller's key until its customer is known, and empty after
    that or without a key; `customer` is the customer's name. `rank` is the
    customer's, which goes before the route's; None without one.
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
    key_digest: bytes = dataclasses.field(default=b'', repr=False)
    customer: str = ''
    rank: int | None = None
