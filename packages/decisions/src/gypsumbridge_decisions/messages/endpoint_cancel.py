"""A request to cancel a request at an endpoint."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EndpointCancel:
    """Cancels the running request with this call id."""

    call_id: int
    endpoint: str
