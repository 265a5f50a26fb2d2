"""A command to refuse a delegated request."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RefuseDelegated:
    """No attempt was sent for the request `call_id`."""

    call_id: int
    reason: str
