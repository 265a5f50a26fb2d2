"""Report that a response to an objective was written."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ResponseWritten:
    """A gather of a route was answered `late_ms` after its timer was due."""

    route: str
    late_ms: int
