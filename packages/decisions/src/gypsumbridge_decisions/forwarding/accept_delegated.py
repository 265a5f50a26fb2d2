"""A command to confirm that a delegated request is gathered."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AcceptDelegated:
    """Tells the node that delegated the request `call_id`."""

    call_id: int
