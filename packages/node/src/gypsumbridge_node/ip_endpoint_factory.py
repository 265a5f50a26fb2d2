"""Twisted endpoints for IP addresses, without name resolution."""

from typing import Any

from twisted.internet import endpoints
from twisted.web import client
from twisted.web import iweb
from zope import interface

from gypsumbridge_node import head_limit


@interface.implementer(iweb.IAgentEndpointFactory)
class IpEndpointFactory:
    """Makes a TCP endpoint from the IP address and port of a URI.

    The agent's default factory starts a resolver thread for each
    connection, which an IP address does not need. The heads of responses
    are limited.
    """

    def __init__(self, reactor: Any, connect_timeout_ms: int) -> None:
        self.reactor = reactor
        self.timeout_s = connect_timeout_ms / 1000

    def endpointForURI(self, uri: client.URI) -> Any:  # noqa: N802
        """Return the endpoint of a URI."""
        return head_limit.limit_heads(
            endpoints.TCP4ClientEndpoint(
                self.reactor,
                uri.host.decode(),
                uri.port,
                timeout=self.timeout_s,
            )
        )
