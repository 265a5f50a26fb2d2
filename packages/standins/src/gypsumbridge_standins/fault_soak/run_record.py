"""A run of a request at a searcher."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RunRecord:
    """One run of a request; the time is on the monotonic clock.

    With `refused`, the searcher refused to run it and stated a time without
    requests.
    """

    at_ms: int
    request_id: str
    searcher_id: str
    refused: bool = False

    @property
    def service(self) -> str:
        """The searcher's service."""
        return self.searcher_id.partition('-')[0]
