"""Notice that a caller closed its connection."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CallerDisconnected:
    """The request `call_id` in progress needs no response."""

    call_id: int
