"""State of one attempt that a searcher has not answered."""

from gypsumbridge_decisions.forwarding import searcher as searchers


class Attempt:
    """Where the attempt went and for which part of which request.

    `overdue` is set when the attempt was hedged, `abandoned` when its
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
