"""Names of the headers that a deployment gives a meaning."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Header names in lower case.

    `request_id` and `deadline_ms` come from the caller. `expected_searcher`
    is sent to a searcher, which refuses to run the request when its id is
    another. `signature`, `searcher_id` and `not_run` come from a searcher;
    `not_run` states that it did not run the request. `part_signatures` and
    `missing_parts` describe a gathered response.
    """

    request_id: str
    deadline_ms: str
    expected_searcher: str
    signature: str
    searcher_id: str
    not_run: str
    part_signatures: str
    missing_parts: str
