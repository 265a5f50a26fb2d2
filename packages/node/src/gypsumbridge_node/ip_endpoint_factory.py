"""Connects by IP number, without a name resolver."""

from typing import Any

from twisted.internet import endpoints
from twisted.web import client
from twisted.web import iweb
from zope import interface


@interface.implementer(iweb.IAgentEndpointFactory)
class IpEndpointFactory:
    """Makes a plain TCP endpoint of a URI's IP number and port.

    The agent's own factory starts a resolver thread for each connection,
    which an IP number does not need.
    """

    def __init__(self, reactor: Any, connect_timeout_ms: int) -> None:
        self.reactor = reactor
        self.timeout_s = connect_timeout_ms / 1000

    def endpointForURI(  # noqa: N802
        self, uri: client.URI
    ) -> endpoints.TCP4ClientEndpoint:
        """Return the endpoint of a URI."""
        return endpoints.TCP4ClientEndpoint(
            self.reactor, uri.host.decode(), uri.port, timeout=self.timeout_s
        )
