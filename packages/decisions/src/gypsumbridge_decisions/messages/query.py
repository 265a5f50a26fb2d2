"""A caller's query after its codec has checked it."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Query:
    """A query as the front receives it.

    `query_id` is unique to this node and run; `request_id` is the
    caller's own and is only echoed. `deadline_ms` counts from arrival.
    """

    query_id: str
    request_id: str
    service: str
    rank: str
    caller: str
    deadline_ms: int
    body: bytes
