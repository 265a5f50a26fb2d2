"""The end of an attempt at a searcher."""

import dataclasses

from gypsumbridge_decisions.forwarding import attempt_outcome


@dataclasses.dataclass(frozen=True)
class AttemptEnded:
    """A response with its status, headers and body, or why there is none.

    `signature` is what the searcher signed its response with, empty when
    it did not. `detail` names the cause of an attempt without response.
    """

    attempt_id: int
    outcome: attempt_outcome.AttemptOutcome
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    signature: str = ''
    detail: str = ''
