"""State of one request in progress."""

from gypsumbridge_decisions.forwarding import caller_request
from gypsumbridge_decisions.forwarding import part_state
from gypsumbridge_decisions.forwarding import route as routes


class Exchange:
    """A request, the route that it is pinned to, and its parts.

    `expires_ms` is when the final response is due on the node's clock,
    `open_services` names the parts whose answer may still arrive,
    `hedge_put_off` says that hedges wait for a second time.
    """

    def __init__(
        self,
        request: caller_request.CallerRequest,
        route: routes.Route,
        version: int,
        services: tuple[str, ...],
        expires_ms: int,
    ) -> None:
        self.request = request
        self.route = route
        self.version = version
        self.expires_ms = expires_ms
        self.parts = [part_state.PartState(name) for name in services]
        self.by_service = {part.service: part for part in self.parts}
        self.open_services: set[str] = set()
        self.hedges = 0
        self.hedge_put_off = False
        self.objective_passed = False

    def part(self, service: str) -> part_state.PartState:
        """Return the part of a service."""
        return self.by_service[service]
