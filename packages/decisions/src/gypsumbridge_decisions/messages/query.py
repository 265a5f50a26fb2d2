"""A caller's query, decoded and validated."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Query:
    """A query as the front receives it.

    `query_id` is unique to this node and run. `request_id` is chosen by the
    caller and only echoed. `deadline_ms` counts from arrival.
    """

    query_id: str
    request_id: str
    service: str
    rank: str
    caller: str
    deadline_ms: int
    body: bytes
