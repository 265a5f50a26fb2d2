"""A caller that closed its connection."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CallerGone:
    """The caller of a request in progress no longer waits."""

    call_id: int
