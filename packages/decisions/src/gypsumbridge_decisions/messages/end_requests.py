"""A request to answer everything in flight."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EndRequests:
    """The process is about to exit; no request can be finished later."""
