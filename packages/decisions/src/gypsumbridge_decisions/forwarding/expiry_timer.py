"""Timer for the final response."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ExpiryTimer:
    """Set at the caller's deadline or the route's timeout."""

    call_id: int
