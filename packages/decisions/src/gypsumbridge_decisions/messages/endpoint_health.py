"""The result of a health check."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EndpointHealth:
    """`serving` is True only if the endpoint itself reported it."""

    endpoint: str
    serving: bool
