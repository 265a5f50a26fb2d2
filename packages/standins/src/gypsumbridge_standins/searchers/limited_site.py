"""An HTTP site that refuses connections beyond a limit."""

from typing import Any

from twisted.web import http
from twisted.web import server

from gypsumbridge_node import function_resource
from gypsumbridge_standins.searchers import searcher_state


class LimitedSite(server.Site):
    """Counts connections and refuses those beyond the searcher's limit."""

    def __init__(
        self, resource: Any, state: searcher_state.SearcherState
    ) -> None:
        super().__init__(resource)
        self.state = state

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return the protocol of a connection, or None to refuse it."""
        state = self.state
        if state.connections >= state.spec.connections:
            state.refused_connections += 1
            return None
        channel = super().buildProtocol(addr)
        state.connections += 1
        state.peak_connections = max(state.peak_connections, state.connections)
        original_connection_lost = channel.connectionLost

        def connection_lost(reason: Any) -> None:
            state.connections -= 1
            original_connection_lost(reason)

        channel.connectionLost = connection_lost
        return channel


def make_site(
    state: searcher_state.SearcherState, handle: Any
) -> http.HTTPFactory:
    """Return a site that calls `handle` for every request."""
    return LimitedSite(function_resource.FunctionResource(handle), state)
