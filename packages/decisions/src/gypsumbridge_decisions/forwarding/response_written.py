"""Report that a response triggered by an objective timer was written."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ResponseWritten:
    """A gather of `route` was answered `late_ms` after its timer was due."""

    route: str
    late_ms: int
