"""The final response to a caller."""

import dataclasses

from gypsumbridge_decisions.forwarding import searcher_statement


@dataclasses.dataclass(frozen=True)
class CallerResponse:
    """Status, end-to-end headers and the complete body.

    `retry_after_ms` is the delay after which the caller may retry, or 0.
    `part_signatures` and `missing_parts` describe a gathered response; the
    latter is -1 for any other response. The response to a delegated group
    of services names the service of each part in `part_services`. A response
    triggered by an objective timer has the name of its route in
    `objective_route` and the time for which the timer was set in `due_ms`.
    `statements` tells a node that delegates what searchers have stated.
    """

    call_id: int
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    retry_after_ms: int = 0
    part_signatures: tuple[str, ...] = ()
    missing_parts: int = -1
    part_services: tuple[str, ...] = ()
    objective_route: str = ''
    due_ms: int = 0
    statements: tuple[searcher_statement.SearcherStatement, ...] = ()
