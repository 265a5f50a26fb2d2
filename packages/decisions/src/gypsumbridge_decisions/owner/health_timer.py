"""The next health check of an endpoint that said it is leaving."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HealthTimer:
    """Set while the endpoint's own word keeps it from new work."""

    endpoint: str
