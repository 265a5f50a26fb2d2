"""Timer for the confirmation of a coordinator."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AcceptanceTimer:
    """Set to fire at `due_ms` when a gather is delegated."""

    delegation_id: int
    due_ms: int
