"""Twisted endpoints for IP addresses, without name resolution."""

from typing import Any

from twisted.internet import endpoints
from twisted.web import client
from twisted.web import iweb
from zope import interface


@interface.implementer(iweb.IAgentEndpointFactory)
class IpEndpointFactory:
    """Makes a TCP endpoint from the IP address and port of a URI.

    The agent's default factory starts a resolver thread for each
    connection, which an IP address does not need.
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
