"""The end of an attempt at a searcher."""

import dataclasses

from gypsumbridge_decisions.forwarding import attempt_outcome


@dataclasses.dataclass(frozen=True)
class AttemptEnded:
    """A response with its status, headers and body, or a failure.

    `signature` is the searcher's signature of its response, empty if there
    is none. `detail` names the cause of a failure. With `leaving`, the
    searcher stated that it is about to exit. It wants no request from this
    node for `retry_after_ms`.
    """

    attempt_id: int
    outcome: attempt_outcome.AttemptOutcome
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    signature: str = ''
    detail: str = ''
    leaving: bool = False
    retry_after_ms: int = 0
