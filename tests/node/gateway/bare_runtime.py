"""The part of a gateway's runtime that its connections need."""

import types

from twisted.internet import testing

from gypsumbridge_decisions import clock as clocks
from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import receive_budget
from tests.node.gateway import socket_transport

NOW_MS = 1_000


def make_runtime(**settings):
    """Return a runtime whose reactor records connections."""
    return types.SimpleNamespace(
        reactor=testing.MemoryReactorClock(),
        clock=clocks.ManualTime(NOW_MS).clock(),
        metrics=types.SimpleNamespace(count=lambda name: None),
        logger=None,
        settings=types.SimpleNamespace(**settings),
    )


def add_idle(idle):
    """Return an open connection after adding it to the idle ones."""
    connection = client_connection.ClientConnection(
        lambda *reply: None,
        lambda *reason: None,
        None,
        receive_budget.make_receive_budget(),
    )
    transport = socket_transport.SocketTransport()
    transport.protocol = connection
    connection.makeConnection(transport)
    idle.add(connection, NOW_MS)
    return connection
