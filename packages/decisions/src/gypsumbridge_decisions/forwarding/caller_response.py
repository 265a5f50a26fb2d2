"""The final response to a caller."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CallerResponse:
    """Status, end-to-end headers and the whole body.

    `retry_after_ms` is when the caller should try again, or 0.
    `part_signatures` and `missing_parts` describe a gathered response; the
    latter is -1 for any other response.
    """

    call_id: int
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    retry_after_ms: int = 0
    part_signatures: tuple[str, ...] = ()
    missing_parts: int = -1
