"""The [limits] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LimitsSettings:
    """Maximum size of a request body and maximum deadline of a query."""

    max_body_bytes: int = 1_048_576
    max_deadline_ms: int = 60_000
