"""Factories of the connections of a listening port."""

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import edge_resources
from gypsumbridge_node.gateway import parsed_request
from gypsumbridge_node.gateway import server_connection
from gypsumbridge_node.gateway.settings import limits_settings


def make_factory(
    on_request: Callable[
        [server_connection.ServerConnection, parsed_request.ParsedRequest],
        None,
    ],
    on_disconnect: Callable[[server_connection.ServerConnection], None],
    limits: Callable[[], forwarding.IngressLimits],
    closing: Callable[[], bool],
    resources: edge_resources.EdgeResources | None = None,
) -> Any:
    """Return a factory whose `connections` are its open connections.

    They share the `resources`, by default with no other factory.
    """
    shared = resources or edge_resources.make_edge_resources(
        limits_settings.LimitsSettings()
    )
    factory = protocol.Factory.forProtocol(
        lambda: server_connection.ServerConnection(
            on_request, on_disconnect, limits, closing, shared
        )
    )
    factory.budget = shared.budget
    factory.connections = set()
    factory.noisy = False
    return factory
