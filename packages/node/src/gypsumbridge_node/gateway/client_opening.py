"""Opens connections to servers."""

from collections.abc import Callable
from typing import Any

import logbook

from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import memory_budget
from gypsumbridge_node.gateway import opening_factory


def connect(
    reactor: Any,
    address: tuple[str, int],
    timeout_s: float,
    on_reply: Callable[
        [client_connection.ClientConnection, http_reply.HttpReply], None
    ],
    on_close: Callable[[client_connection.ClientConnection, str], None],
    logger: logbook.Logger,
    budget: memory_budget.MemoryBudget,
) -> Any:
    """Return a Deferred that fires with a connection using the callbacks."""
    factory = opening_factory.OpeningFactory(
        reactor,
        client_connection.ClientConnection(on_reply, on_close, logger, budget),
    )
    opened = factory.opened
    reactor.connectTCP(*address, factory, timeout=timeout_s)
    return opened
