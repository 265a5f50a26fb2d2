"""The JSON body of a query."""

import dataclasses

import msgspec


@dataclasses.dataclass(frozen=True)
class QueryBody:
    """`query` is passed to each endpoint as it is."""

    service: str
    rank: str
    query: msgspec.Raw
    deadline_ms: int
    request_id: str = ''
    caller: str = 'anonymous'
