"""The result of a health check."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EndpointHealth:
    """`serving` is True only when the endpoint itself says so."""

    endpoint: str
    serving: bool
