"""A run of a request at a searcher."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RunRecord:
    """One run of a request; the time is on the monotonic clock."""

    at_ms: int
    request_id: str
    searcher_id: str

    @property
    def service(self) -> str:
        """The searcher's service."""
        return self.searcher_id.partition('-')[0]
