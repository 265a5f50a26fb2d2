"""The end of a request to an endpoint."""

import dataclasses

from gypsumbridge_decisions.messages import endpoint_status


@dataclasses.dataclass(frozen=True)
class EndpointReply:
    """An endpoint's reply, or why there is none.

    `executed` is False only when the request was certainly not run.
    `leaving` repeats what the endpoint says about itself.
    """

    call_id: int
    endpoint: str
    status: endpoint_status.EndpointStatus
    executed: bool
    shard: str
    version: str
    payload: bytes
    leaving: bool
