"""A request that waits for a token."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class WaitingRequest:
    """Its caller waits until `deadline_ms`."""

    call_id: int
    request_id: str
    deadline_ms: int
