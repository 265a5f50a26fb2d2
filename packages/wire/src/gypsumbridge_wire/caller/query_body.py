"""The JSON body of a query."""

import dataclasses

import msgspec


@dataclasses.dataclass(frozen=True)
class QueryBody:
    """A query; the field `query` is sent to each endpoint unchanged."""

    service: str
    rank: str
    query: msgspec.Raw
    deadline_ms: int
    request_id: str = ''
    caller: str = 'anonymous'
