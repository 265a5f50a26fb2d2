"""The task that owns the port at which other nodes call this one."""

from collections.abc import Mapping

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import listening
from gypsumbridge_node.gateway import parsed_request
from gypsumbridge_node.gateway import peer_site
from gypsumbridge_node.gateway import runtime as runtimes
from gypsumbridge_node.gateway import server_connection
from gypsumbridge_node.gateway import server_factory

STATUS_NOT_FOUND = 404
# Polls have no body, and grant requests have under 300 bytes.
MAX_BODY_BYTES = 4_096


def start_peer_http_task(
    runtime: runtimes.GatewayRuntime, sites: Mapping[str, peer_site.PeerSite]
) -> None:
    """Pass each call to the site of its path; without an address, do nothing.

    The tasks behind the sites own the calls until they are answered.
    """
    if not runtime.settings.listen.peers:
        return
    limits = forwarding.IngressLimits(max_body_bytes=MAX_BODY_BYTES)

    def handle_request(
        connection: server_connection.ServerConnection,
        request: parsed_request.ParsedRequest,
    ) -> None:
        site = sites.get(request.target.partition('?')[0])
        if site is None:
            connection.respond(STATUS_NOT_FOUND, (), b'')
            return
        site.on_request(connection, request)

    def handle_disconnect(
        connection: server_connection.ServerConnection,
    ) -> None:
        for site in sites.values():
            site.on_disconnect(connection)

    factory = server_factory.make_factory(
        handle_request,
        handle_disconnect,
        lambda: limits,
        lambda: False,
        runtime.resources,
    )
    listening.listen(runtime, runtime.settings.listen.peers, factory)
