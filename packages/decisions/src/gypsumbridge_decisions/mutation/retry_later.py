"""An action of the claim protocol: continue after a delay."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RetryLater:
    """Calls `resume` after a delay with exponential backoff."""
