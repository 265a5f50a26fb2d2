"""The reply of a coordinator to a delegated request."""

import dataclasses

from gypsumbridge_decisions import forwarding


@dataclasses.dataclass(frozen=True)
class DelegatedReply:
    """The final response, or the reason why nothing was gathered.

    `delegation_id` is that of the request, 0 if it had none.
    """

    refusal: str
    response: forwarding.CallerResponse | None
    delegation_id: int = 0
