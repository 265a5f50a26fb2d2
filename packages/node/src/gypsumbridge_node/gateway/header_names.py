"""Names of the headers that a deployment defines."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Header names in lower case.

    `request_id`, `deadline_ms` and `key`, the customer's key, are sent by the
    caller. `customer` is sent to a searcher and names the customer.
    `expected_searcher` is sent to a searcher, which refuses to run the
    request if its own id differs. `signature`, `searcher_id` and `not_run`
    are sent by a searcher; `not_run` states that it did not run the
    request, `leaving` that the searcher is about to exit, and `retry_after`
    for how many seconds it wants no requests. `part_signatures` and
    `missing_parts` describe a gathered response.
    """

    request_id: str
    deadline_ms: str
    expected_searcher: str
    signature: str
    searcher_id: str
    not_run: str
    leaving: str
    retry_after: str
    part_signatures: str
    missing_parts: str
    key: str
    customer: str
