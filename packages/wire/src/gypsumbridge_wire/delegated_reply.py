"""The reply of a coordinator to a delegated request."""

import dataclasses

from gypsumbridge_decisions import forwarding


@dataclasses.dataclass(frozen=True)
class DelegatedReply:
    """The final response, or the reason why nothing was gathered."""

    refusal: str
    response: forwarding.CallerResponse | None
