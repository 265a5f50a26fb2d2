"""The outcome of a request to an endpoint."""

import dataclasses

from gypsumbridge_decisions.messages import endpoint_status


@dataclasses.dataclass(frozen=True)
class EndpointReply:
    """An endpoint's reply, or the reason why there is none.

    `executed` is False only if the request was certainly not run.
    `leaving` is True if the endpoint reported that it is leaving.
    """

    call_id: int
    endpoint: str
    status: endpoint_status.EndpointStatus
    executed: bool
    shard: str
    version: str
    payload: bytes
    leaving: bool
