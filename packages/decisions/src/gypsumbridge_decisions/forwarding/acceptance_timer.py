"""Timer for the confirmation of a coordinator."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AcceptanceTimer:
    """Set when a request is delegated; `coordinator_id` identifies it."""

    call_id: int
    coordinator_id: str
    due_ms: int
