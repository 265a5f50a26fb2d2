"""State of one attempt in flight."""

from gypsumbridge_decisions.forwarding import searcher as searchers


class Attempt:
    """The attempt's searcher, and the part and request that it serves.

    `overdue` is set when the attempt is hedged, `abandoned` when its
    response is no longer needed.
    """

    def __init__(
        self,
        call_id: int,
        route_name: str,
        service: str,
        searcher: searchers.Searcher,
        sent_ms: int,
    ) -> None:
        self.call_id = call_id
        self.route_name = route_name
        self.service = service
        self.searcher = searcher
        self.sent_ms = sent_ms
        self.overdue = False
        self.abandoned = False
