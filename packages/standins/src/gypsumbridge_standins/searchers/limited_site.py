"""An HTTP site that refuses connections past a limit."""

from typing import Any

from twisted.web import http
from twisted.web import server

from gypsumbridge_node import function_resource
from gypsumbridge_standins.searchers import searcher_state


class LimitedSite(server.Site):
    """Counts connections and closes those past the searcher's limit."""

    def __init__(
        self, resource: Any, state: searcher_state.SearcherState
    ) -> None:
        super().__init__(resource)
        self.state = state

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Make the protocol of a connection, or refuse it."""
        state = self.state
        if state.connections >= state.spec.connections:
            state.refused_connections += 1
            return None
        channel = super().buildProtocol(addr)
        state.connections += 1
        state.peak_connections = max(state.peak_connections, state.connections)
        lost = channel.connectionLost

        def connection_lost(reason: Any) -> None:
            state.connections -= 1
            lost(reason)

        channel.connectionLost = connection_lost
        return channel


def make_site(
    state: searcher_state.SearcherState, handle: Any
) -> http.HTTPFactory:
    """Return a site that serves every request with one function."""
    return LimitedSite(function_resource.FunctionResource(handle), state)
