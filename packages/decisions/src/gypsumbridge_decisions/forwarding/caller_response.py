"""The final response to a caller."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CallerResponse:
    """Status, end-to-end headers and the whole body.

    `retry_after_ms` is when the caller should try again, or 0.
    `part_signatures` and `missing_parts` describe a gathered response; the
    latter is -1 for any other response. A response to a route's objective
    names the `objective_route` and when its timer was due, `due_ms`.
    """

    call_id: int
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    retry_after_ms: int = 0
    part_signatures: tuple[str, ...] = ()
    missing_parts: int = -1
    objective_route: str = ''
    due_ms: int = 0
