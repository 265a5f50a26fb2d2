"""The timer of the configuration task."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Tick:
    """Scheduled every `PULL_INTERVAL_MS`."""
