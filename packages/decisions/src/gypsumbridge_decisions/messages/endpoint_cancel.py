"""Cancels a request at an endpoint."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EndpointCancel:
    """Ends a running request by its call id."""

    call_id: int
    endpoint: str
