"""Timer for the next health check of a leaving endpoint."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HealthTimer:
    """Armed while an endpoint gets no new work because of its own reply."""

    endpoint: str
