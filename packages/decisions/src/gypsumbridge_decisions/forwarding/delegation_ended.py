"""The end of a delegated request."""

import dataclasses

from gypsumbridge_decisions.forwarding import caller_response


@dataclasses.dataclass(frozen=True)
class DelegationEnded:
    """The coordinator's response, its refusal, or a failure.

    `refusal` names the reason why the coordinator has sent no attempt.
    Without a response and a refusal, `failure` names what happened to the
    connection, and `sent` whether the coordinator may have the request.
    """

    delegation_id: int
    response: caller_response.CallerResponse | None = None
    refusal: str = ''
    failure: str = ''
    sent: bool = True
