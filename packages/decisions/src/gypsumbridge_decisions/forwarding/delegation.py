"""State of a gather that is delegated to another node."""

from gypsumbridge_decisions.forwarding import caller_request
from gypsumbridge_decisions.forwarding import route as routes


class Delegation:
    """The request, its route, and the coordinator that it was sent to.

    `services` are those that the coordinator gathers from, empty for all of
    them. `expires_ms` is the deadline of the final response on this node's
    clock. `accepted` is set when the coordinator has confirmed that it
    gathers. `timer_extended`
    is set after the acceptance timer was set again.
    """

    def __init__(
        self,
        request: caller_request.CallerRequest,
        route: routes.Route,
        version: int,
        coordinator_id: str,
        expires_ms: int,
        services: tuple[str, ...],
    ) -> None:
        self.request = request
        self.route = route
        self.version = version
        self.coordinator_id = coordinator_id
        self.expires_ms = expires_ms
        self.services = services
        self.accepted = False
        self.timer_extended = False
