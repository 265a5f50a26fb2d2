"""The part of a gateway's runtime that its connections need."""

import types

from twisted.internet import testing

from gypsumbridge_decisions import clock as clocks
from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import edge_resources
from gypsumbridge_node.gateway import memory_budget
from gypsumbridge_node.gateway.settings import limits_settings
from tests.node.gateway import socket_transport

NOW_MS = 1_000


def make_runtime(**settings):
    """Return a runtime whose reactor records connections."""
    return types.SimpleNamespace(
        reactor=testing.MemoryReactorClock(),
        clock=clocks.ManualTime(NOW_MS).clock(),
        metrics=types.SimpleNamespace(count=lambda name: None),
        logger=None,
        resources=edge_resources.make_edge_resources(
            limits_settings.LimitsSettings()
        ),
        settings=types.SimpleNamespace(**settings),
    )


def add_idle(idle):
    """Return an open connection after adding it to the idle ones."""
    connection = client_connection.ClientConnection(
        lambda *reply: None,
        lambda *reason: None,
        None,
        memory_budget.make_memory_budget(),
    )
    transport = socket_transport.SocketTransport()
    transport.protocol = connection
    connection.makeConnection(transport)
    idle.add(connection, NOW_MS)
    return connection
