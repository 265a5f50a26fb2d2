"""State of one request in progress."""

from gypsumbridge_decisions.forwarding import attempt_ended
from gypsumbridge_decisions.forwarding import caller_request
from gypsumbridge_decisions.forwarding import part_state
from gypsumbridge_decisions.forwarding import ranking
from gypsumbridge_decisions.forwarding import route as routes
from gypsumbridge_decisions.forwarding import searcher_statement
from gypsumbridge_decisions.forwarding import top_records


class Exchange:
    """A request, the route that applied on its arrival, and its parts.

    `expires_ms` is the deadline of the final response on the node's clock,
    `answer_ms` the time at which a gather is answered without its missing
    parts. `open_services` names the parts whose answer may still arrive.
    `answered` counts the parts that were received. `hedge_postponed` is set
    after hedges were postponed once. `merged_records` is None unless the
    route gathers. With `partial`, another node has delegated a group of
    services and adds the other parts. `groups` holds the ids of the
    delegations of this request's own groups, and `statements` what
    searchers have stated in their answers to it. `rank` is the customer's,
    or else the route's.
    """

    def __init__(
        self,
        request: caller_request.CallerRequest,
        route: routes.Route,
        version: int,
        services: tuple[str, ...],
        expires_ms: int,
        partial: bool = False,
    ) -> None:
        self.request = request
        self.route = route
        self.version = version
        self.rank = ranking.rank_of(request, route)
        self.expires_ms = expires_ms
        self.answer_ms = expires_ms
        self.merged_records: top_records.TopRecords | None = None
        if route.gather is not None:
            self.merged_records = top_records.TopRecords(route.gather.top_k)
        self.parts = [part_state.PartState(name) for name in services]
        self.by_service = {part.service: part for part in self.parts}
        self.open_services: set[str] = set()
        self.answered = 0
        self.hedges = 0
        self.hedge_postponed = False
        self.objective_passed = False
        self.partial = partial
        self.groups: set[int] = set()
        self.statements: list[searcher_statement.SearcherStatement] = []

    def set_answer(
        self,
        part: part_state.PartState,
        answer: attempt_ended.AttemptEnded,
    ) -> None:
        """Record the answer of a part that has none yet."""
        part.answer = answer
        self.answered += 1

    def is_sent(self) -> bool:
        """Return whether any part was sent to a searcher or delegated."""
        return any(part.sends or part.delegated for part in self.parts)

    def part(self, service: str) -> part_state.PartState:
        """Return the part of a service."""
        return self.by_service[service]
