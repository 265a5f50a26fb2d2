"""A request for tokens from another node."""

import dataclasses

from gypsumbridge_decisions.quotas import grant_request


@dataclasses.dataclass(frozen=True)
class GrantAsked:
    """Answered by AnswerGrant with the same `call_id`."""

    call_id: int
    request: grant_request.GrantRequest
